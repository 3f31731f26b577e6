"""Waiting units: their order, reservations and delays."""
