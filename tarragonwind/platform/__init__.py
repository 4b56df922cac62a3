"""Translate between the protocols of the users' platform and the types of this package.

This folder holds no scheduling logic. It lies inside `tarragonwind` because a top-level package of
this name would hide Python's `platform` module from programs run at the root of the repository.
"""
