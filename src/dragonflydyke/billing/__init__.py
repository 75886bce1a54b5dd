"""Bills, their journal in the platform, and copies on other VMs."""

from dragonflydyke.billing.copies import HolderPeer
from dragonflydyke.billing.holders import BillHolder
from dragonflydyke.billing.ledger import LedgerReader
from dragonflydyke.billing.model import (
    Bill,
    BillAttempt,
    Outcome,
    derive_bill_id,
)
from dragonflydyke.billing.writer import BillWriter, Durability, FlushResult

__all__ = [
    "Bill",
    "BillAttempt",
    "BillHolder",
    "BillWriter",
    "FlushResult",
    "HolderPeer",
    "LedgerReader",
    "Outcome",
    "Durability",
    "derive_bill_id",
]
