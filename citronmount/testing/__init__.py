"""The test runner of the project and helpers for tests."""
