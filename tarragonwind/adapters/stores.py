"""Provide the store backends of the product."""

from __future__ import annotations

from tarragonwind.adapters import etcd_stores, memory_stores
from tarragonwind.adapters.store_backends import StoreSettings, create_store

__all__ = ["StoreSettings", "create_store", "etcd_stores", "memory_stores"]
