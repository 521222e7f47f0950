"""Test the binding to the platform."""
