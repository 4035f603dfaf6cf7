"""Define the types of the identifiers in messages and rows."""

import typing

ServiceName = typing.NewType("ServiceName", str)
PoolName = typing.NewType("PoolName", str)
BudgetName = typing.NewType("BudgetName", str)
JobName = typing.NewType("JobName", str)
TeamName = typing.NewType("TeamName", str)
MinionId = typing.NewType("MinionId", str)
WorkerId = typing.NewType("WorkerId", str)
RackName = typing.NewType("RackName", str)
ZoneName = typing.NewType("ZoneName", str)
EntryId = typing.NewType("EntryId", str)
ProcessId = typing.NewType("ProcessId", str)
RequestId = typing.NewType("RequestId", str)
AttemptId = typing.NewType("AttemptId", str)
PublishId = typing.NewType("PublishId", str)
TaskId = typing.NewType("TaskId", str)
JobId = typing.NewType("JobId", str)
QueueName = typing.NewType("QueueName", str)
HostId = typing.NewType("HostId", str)
OperationId = typing.NewType("OperationId", str)
Version = typing.NewType("Version", int)
Epoch = typing.NewType("Epoch", int)

NO_VERSION = Version(0)
