"""The platform as narrow interfaces, each with one HTTP adapter.

A user's own platform is met by writing one module with the same functions.
"""
