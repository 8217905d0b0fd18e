"""Kinds of branches in the settings tree."""

import enum


class Kind(enum.StrEnum):
    """What a branch describes."""

    ROOT = "root"
    GROUP = "group"
    WORKSPACE = "workspace"
    WORKLOAD = "workload"
    CLASS = "class"
    POOL = "pool"
