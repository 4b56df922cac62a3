"""Translate between the users' platform and the project's own types; nothing here decides.

The package lies inside `tarragonwind` because a top-level one of its name would hide Python's own
`platform` module from programs that start at the root of the repository.
"""
