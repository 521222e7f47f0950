"""Test the node on the event loop."""
