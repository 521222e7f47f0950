"""Translate between the product and the users' platform.

Nothing outside this package knows the names that the platform uses.
"""
