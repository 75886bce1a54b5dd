"""Share of a fleet-wide limit that one node enforces."""

# Weight of a node without demand, as a part of an equal share.
IDLE_WEIGHT = 0.1


def compute_share(
    limit: float, own_demand: float, remote_demand: float, node_count: int
) -> float:
    """Returns this node's share of a limit.

    The shares of all nodes add up to the limit if they agree on the demands.

    Args:
        limit: Limit of the fleet.
        own_demand: Demand at this node, in the unit of the limit.
        other_demand: Sum over the other nodes.
        heard_vms: Nodes heard, this one included.
    """
    idle = IDLE_WEIGHT * limit / node_count
    total = own_demand + remote_demand + node_count * idle
    return limit * (own_demand + idle) / total if total else 0.0
