"""The test runner of the project."""
