"""Test the platform binding."""
