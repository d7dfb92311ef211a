"""A fleet under steps of load, in virtual time: the real decisions of many schedulers on workers."""

from __future__ import annotations
