"""Run the node beside an upstream on one event loop."""
