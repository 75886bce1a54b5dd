"""Computation of the share of a fleet-wide limit that one node enforces."""

# Weight of a node without demand, as a fraction of an equal share.
IDLE_WEIGHT = 0.1


def compute_share(
    limit: float, own_demand: float, remote_demand: float, node_count: int
) -> float:
    """Returns this node's share of a limit, in proportion to its demand.

    The shares of all nodes add up to the limit if they agree on the demands.

    Args:
        limit: Limit of the whole fleet.
        own_demand: Demand at this node, in the unit of the limit.
        remote_demand: Total demand at the other nodes.
        node_count: Number of reachable nodes, including this one.
    """
    idle_demand = IDLE_WEIGHT * limit / node_count
    total_demand = own_demand + remote_demand + node_count * idle_demand
    return (
        limit * (own_demand + idle_demand) / total_demand
        if total_demand
        else 0.0
    )
