"""Membership of a deployment, and how its instances share connections."""

from __future__ import annotations
