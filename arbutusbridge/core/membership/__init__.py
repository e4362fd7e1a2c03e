"""The instances of a deployment and the shares they divide."""

from __future__ import annotations
