"""Messages between the tasks of an instance that serves an executor pool."""

from cardamompathd.pool_messages.addresses import CALLER_WATCH
from cardamompathd.pool_messages.addresses import CANCELLATION_LOG
from cardamompathd.pool_messages.addresses import CONFIGURATIONS
from cardamompathd.pool_messages.addresses import DECISION_LOG
from cardamompathd.pool_messages.addresses import EXECUTORS
from cardamompathd.pool_messages.addresses import FLEET
from cardamompathd.pool_messages.addresses import GATEWAY
from cardamompathd.pool_messages.addresses import LINKS
from cardamompathd.pool_messages.addresses import LISTINGS
from cardamompathd.pool_messages.addresses import PLANNER
from cardamompathd.pool_messages.addresses import Decision
from cardamompathd.pool_messages.addresses import Leave
from cardamompathd.pool_messages.addresses import LinkFailed
from cardamompathd.pool_messages.addresses import SendToMember
from cardamompathd.pool_messages.addresses import SendToMembers
from cardamompathd.pool_messages.addresses import SetLink
from cardamompathd.pool_messages.callers import AppendCancellation
from cardamompathd.pool_messages.callers import BatchesConfirmed
from cardamompathd.pool_messages.callers import BatchQuery
from cardamompathd.pool_messages.callers import BatchQueryAnswered
from cardamompathd.pool_messages.callers import CallersChecked
from cardamompathd.pool_messages.callers import CancelBatch
from cardamompathd.pool_messages.callers import CancellationsLogged
from cardamompathd.pool_messages.callers import CancellationsRead
from cardamompathd.pool_messages.callers import CancellationsReported
from cardamompathd.pool_messages.callers import CountWaiting
from cardamompathd.pool_messages.callers import FindBatch
from cardamompathd.pool_messages.callers import GetReadiness
from cardamompathd.pool_messages.callers import SubmitBatch
from cardamompathd.pool_messages.callers import UnwatchCaller
from cardamompathd.pool_messages.callers import WatchCaller
from cardamompathd.pool_messages.callers import WithdrawBatch
from cardamompathd.pool_messages.documents import ConfigurationInForce
from cardamompathd.pool_messages.documents import ConfigurationOffered
from cardamompathd.pool_messages.documents import ExecutorsAnswered
from cardamompathd.pool_messages.documents import ExecutorsAsked
from cardamompathd.pool_messages.documents import ExecutorsRead
from cardamompathd.pool_messages.documents import OfferConfiguration
from cardamompathd.pool_messages.documents import OwnListRead
from cardamompathd.pool_messages.documents import PeerListRead
from cardamompathd.pool_messages.documents import RoutesConfigured
from cardamompathd.pool_messages.documents import SetListingRate
from cardamompathd.pool_messages.documents import StoreStateChanged
from cardamompathd.pool_messages.members import AddressesFound
from cardamompathd.pool_messages.members import EvacuationInForce
from cardamompathd.pool_messages.members import EvacuationRead
from cardamompathd.pool_messages.members import FleetChanged
from cardamompathd.pool_messages.members import HeartbeatReceived
from cardamompathd.pool_messages.members import OfferEvacuation
from cardamompathd.pool_messages.members import RemotePeerUsed
from cardamompathd.pool_messages.planning import BacklogChanged
from cardamompathd.pool_messages.planning import BacklogMeasured
from cardamompathd.pool_messages.planning import BatchEnded
from cardamompathd.pool_messages.planning import DropBatch
from cardamompathd.pool_messages.planning import DropsPending
from cardamompathd.pool_messages.planning import ExecutorsHeld
from cardamompathd.pool_messages.planning import LossesReported
from cardamompathd.pool_messages.planning import Origin
from cardamompathd.pool_messages.planning import OutcomesReported
from cardamompathd.pool_messages.planning import PlanBatch
from cardamompathd.pool_messages.planning import PlannerHeard
from cardamompathd.pool_messages.planning import PlanningPermitted
from cardamompathd.pool_messages.planning import RoomMeasured
from cardamompathd.pool_messages.planning import RoomReported
from cardamompathd.pool_messages.planning import RunLoss
from cardamompathd.pool_messages.planning import ShardChanged
from cardamompathd.pool_messages.runs import DisconnectExecutor
from cardamompathd.pool_messages.runs import EndedRun
from cardamompathd.pool_messages.runs import ExecutorsListed
from cardamompathd.pool_messages.runs import HoldAnswered
from cardamompathd.pool_messages.runs import HoldExecutor
from cardamompathd.pool_messages.runs import HoldFailed
from cardamompathd.pool_messages.runs import ProbeAnswered
from cardamompathd.pool_messages.runs import ProbeExecutor
from cardamompathd.pool_messages.runs import Run
from cardamompathd.pool_messages.runs import StartAnswered
from cardamompathd.pool_messages.runs import StartResult
from cardamompathd.pool_messages.runs import StartRun
from cardamompathd.pool_messages.runs import StopAnswered
from cardamompathd.pool_messages.runs import StopRun

__all__ = [
    "AddressesFound",
    "AppendCancellation",
    "BacklogChanged",
    "BacklogMeasured",
    "BatchEnded",
    "BatchQuery",
    "BatchQueryAnswered",
    "BatchesConfirmed",
    "CALLER_WATCH",
    "CANCELLATION_LOG",
    "CONFIGURATIONS",
    "CallersChecked",
    "CancelBatch",
    "CancellationsLogged",
    "CancellationsRead",
    "CancellationsReported",
    "ConfigurationInForce",
    "ConfigurationOffered",
    "CountWaiting",
    "DECISION_LOG",
    "Decision",
    "DisconnectExecutor",
    "DropBatch",
    "DropsPending",
    "EXECUTORS",
    "EndedRun",
    "EvacuationInForce",
    "EvacuationRead",
    "ExecutorsAnswered",
    "ExecutorsAsked",
    "ExecutorsHeld",
    "ExecutorsListed",
    "ExecutorsRead",
    "FLEET",
    "FindBatch",
    "FleetChanged",
    "GATEWAY",
    "GetReadiness",
    "HeartbeatReceived",
    "HoldAnswered",
    "HoldExecutor",
    "HoldFailed",
    "LINKS",
    "LISTINGS",
    "Leave",
    "LinkFailed",
    "LossesReported",
    "OfferConfiguration",
    "OfferEvacuation",
    "Origin",
    "OutcomesReported",
    "OwnListRead",
    "PLANNER",
    "PeerListRead",
    "PlanBatch",
    "PlannerHeard",
    "PlanningPermitted",
    "ProbeAnswered",
    "ProbeExecutor",
    "RemotePeerUsed",
    "RoomMeasured",
    "RoomReported",
    "RoutesConfigured",
    "Run",
    "RunLoss",
    "SendToMember",
    "SendToMembers",
    "SetLink",
    "SetListingRate",
    "ShardChanged",
    "StartAnswered",
    "StartResult",
    "StartRun",
    "StopAnswered",
    "StopRun",
    "StoreStateChanged",
    "SubmitBatch",
    "UnwatchCaller",
    "WatchCaller",
    "WithdrawBatch",
]
