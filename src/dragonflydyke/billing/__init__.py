"""Bills, their journal on the platform, and their replicas on other VMs."""

from dragonflydyke.billing.ledger import LedgerReader
from dragonflydyke.billing.model import (
    Bill,
    BillAttempt,
    Outcome,
    derive_bill_id,
)
from dragonflydyke.billing.replicas import ReplicaStore
from dragonflydyke.billing.replication import ReplicaPeer
from dragonflydyke.billing.writer import BillWriter, Durability, FlushResult

__all__ = [
    "Bill",
    "BillAttempt",
    "ReplicaStore",
    "BillWriter",
    "FlushResult",
    "ReplicaPeer",
    "LedgerReader",
    "Outcome",
    "Durability",
    "derive_bill_id",
]
