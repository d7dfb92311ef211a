"""Codecs and buffers that frontends, upstream clients and discovery share."""
