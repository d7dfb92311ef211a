"""Measurements that anyone can repeat; no part of CI."""
