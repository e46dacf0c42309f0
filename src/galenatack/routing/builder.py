"""Builds routing snapshots from decoded entries and members."""

import collections
import collections.abc
import types

from galenatack import exceptions
from galenatack.model import member_record
from galenatack.model import member_status
from galenatack.model import move_phase
from galenatack.model import move_state
from galenatack.model import profile as profile_module
from galenatack.model import service_choice
from galenatack.routing import service_table
from galenatack.routing import snapshot
from galenatack.routing import target_member

# (service, version, move id)
Withdrawn = collections.abc.Collection[tuple[str, str, str]]

_ROUTABLE = (member_status.MemberStatus.SERVING,)
# A suspected member may be alive; it is used if no member is serving.
_FALLBACK = (member_status.MemberStatus.SUSPECT,)
_MAY_ANSWER = (
    member_status.MemberStatus.SERVING,
    member_status.MemberStatus.SUSPECT,
    member_status.MemberStatus.LEAVING,
)

_Groups = collections.abc.Mapping[
    tuple[str, str], list[target_member.TargetMember]
]
_Nodes = collections.abc.Mapping[str, dict[str, target_member.TargetMember]]


def build(
    *,
    profiles: collections.abc.Iterable[profile_module.Profile],
    choices: collections.abc.Iterable[service_choice.ServiceChoice],
    moves: collections.abc.Iterable[move_state.MoveState],
    members: collections.abc.Iterable[member_record.MemberRecord],
    withdrawn: Withdrawn,
    own: member_record.MemberRecord,
) -> snapshot.RoutingSnapshot:
    """Builds a snapshot in which every reference resolves.

    Args:
        profiles: All profiles.
        choices: Chosen profile and version of each service.
        moves: The latest move of each service, running or not.
        members: Records of all members, including the own one.
        withdrawn: Versions that get no calls as long as the move is the latest
            one of its service.
        own: The own record; its data centre and region determine the tiers.

    Raises:
        exceptions.SnapshotError: References do not resolve; the message has
            one line for each.
    """
    by_name = {profile.name: profile for profile in profiles}
    moves_by_service = {move.service: move for move in moves}
    records = sorted(members, key=lambda member: member.node_id)
    groups = _group(records, own)
    nodes = _nodes(records, own)
    errors: list[str] = []
    tables = {}
    for choice in choices:
        profile = by_name.get(choice.profile)
        move = moves_by_service.get(choice.service)
        problems = _problems(choice, profile, move)
        errors.extend(problems)
        if profile is not None and not problems:
            tables[choice.service] = _table(
                choice, profile, move, groups, nodes, withdrawn
            )
    if errors:
        raise exceptions.SnapshotError("\n".join(errors))
    return snapshot.RoutingSnapshot(types.MappingProxyType(tables))


def _problems(
    choice: service_choice.ServiceChoice,
    profile: profile_module.Profile | None,
    move: move_state.MoveState | None,
) -> list[str]:
    where = f"service {choice.service}"
    if profile is None:
        return [f"{where}: profile {choice.profile} is missing"]
    required_versions = [choice.version]
    if _is_running(move):
        required_versions += [move.from_version, move.to_version]
    required_versions += [
        pool.version
        for pool in profile.pools
        if pool.version != service_table.CURRENT
    ]
    problems = [
        f"{where}: version {version} is not in profile {profile.name}"
        for version in dict.fromkeys(required_versions)
        if version not in profile.versions
    ]
    pools = {pool.name for pool in profile.pools}
    policies = {policy.name for policy in profile.retry_policies}
    for route in profile.routes:
        if route.pool not in pools:
            problems.append(
                f"{where}: route {route.name}: pool {route.pool} is missing"
            )
        if route.retry_policy not in policies:
            problems.append(
                f"{where}: route {route.name}: retry policy"
                f" {route.retry_policy} is missing"
            )
    return problems


def _is_running(move: move_state.MoveState | None) -> bool:
    return move is not None and move.phase == move_phase.MovePhase.RUNNING


def _table(
    choice: service_choice.ServiceChoice,
    profile: profile_module.Profile,
    move: move_state.MoveState | None,
    groups: _Groups,
    nodes: _Nodes,
    withdrawn: Withdrawn,
) -> service_table.ServiceTable:
    members = {
        version: tuple(groups.get((choice.service, version), ()))
        for version in profile.versions
    }
    if move is not None:
        _apply_move(members, move, withdrawn)
    pools = {
        pool.name: pool._replace(version=choice.version)
        if pool.version == service_table.CURRENT
        else pool
        for pool in profile.pools
    }
    moving_pools = frozenset(
        pool.name
        for pool in profile.pools
        if pool.version == service_table.CURRENT
    )
    routes = sorted(profile.routes, key=lambda route: -len(route.prefix))
    return service_table.ServiceTable(
        service=choice.service,
        profile=profile.name,
        version=choice.version,
        routes=tuple(routes),
        pools=types.MappingProxyType(pools),
        moving_pools=moving_pools,
        retry_policies=types.MappingProxyType(
            {policy.name: policy for policy in profile.retry_policies}
        ),
        members=types.MappingProxyType(members),
        nodes=types.MappingProxyType(nodes.get(choice.service, {})),
        limits=profile.limits,
        move=move if _is_running(move) else None,
    )


def _apply_move(
    members: dict[str, tuple[target_member.TargetMember, ...]],
    move: move_state.MoveState,
    withdrawn: Withdrawn,
) -> None:
    new = move.to_version
    # A withdrawal that arrives after `done` is ignored: the verdict is final,
    # and the service would have no targets.
    is_done = move.phase == move_phase.MovePhase.DONE
    if not is_done and (move.service, new, move.move_id) in withdrawn:
        members[new] = ()
    elif _is_running(move) and move.active_targets and new in members:
        old = members.get(move.from_version, ())
        members[new] = _order_new_targets(members[new], old)[
            : move.active_targets
        ]


def _order_new_targets(
    new: tuple[target_member.TargetMember, ...],
    old: tuple[target_member.TargetMember, ...],
) -> tuple[target_member.TargetMember, ...]:
    """Orders the new targets in the same way on all nodes.

    Latency is compared within a data centre, so new targets in a data centre
    with an old target come first. The others have nothing to be compared with
    and could never pass the trial.
    """
    old_data_centres = {member.data_centre for member in old}
    comparable = tuple(
        member for member in new if member.data_centre in old_data_centres
    )
    others = tuple(
        member for member in new if member.data_centre not in old_data_centres
    )
    return comparable + others


def _group(
    records: collections.abc.Iterable[member_record.MemberRecord],
    own: member_record.MemberRecord,
) -> _Groups:
    preferred = collections.defaultdict(list)
    fallback = collections.defaultdict(list)
    for record in records:
        key = record.service, record.version
        if record.status in _ROUTABLE:
            preferred[key].append(_target(record, own))
        elif record.status in _FALLBACK:
            fallback[key].append(_target(record, own))
    return {**fallback, **preferred}


def _nodes(
    records: collections.abc.Iterable[member_record.MemberRecord],
    own: member_record.MemberRecord,
) -> _Nodes:
    nodes = collections.defaultdict(dict)
    for record in records:
        if record.status in _MAY_ANSWER:
            nodes[record.service][record.node_id] = _target(record, own)
    return nodes


def _target(
    record: member_record.MemberRecord, own: member_record.MemberRecord
) -> target_member.TargetMember:
    return target_member.TargetMember(
        record.node_id,
        record.boot_ms,
        record.slots,
        _tier(record, own),
        record.data_centre,
    )


def _tier(
    record: member_record.MemberRecord, own: member_record.MemberRecord
) -> int:
    if record.data_centre == own.data_centre:
        return target_member.OWN_DATA_CENTRE
    if record.region == own.region:
        return target_member.OWN_REGION
    return target_member.OTHER_REGION
