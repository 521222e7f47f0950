"""Translate between jasmineramp and the users' platform.

No code outside this package uses the names of the platform.
"""
