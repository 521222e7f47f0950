"""Define the identifier types."""

from typing import NewType

NodeId = NewType('NodeId', str)
DomainId = NewType('DomainId', str)
WorkspaceId = NewType('WorkspaceId', str)
ServiceName = NewType('ServiceName', str)
RowName = NewType('RowName', str)
RequestId = NewType('RequestId', str)
CallId = NewType('CallId', str)
ContextToken = NewType('ContextToken', str)
BucketId = NewType('BucketId', str)
KeyDigest = NewType('KeyDigest', str)
IdempotencyKey = NewType('IdempotencyKey', str)
Revision = NewType('Revision', int)
PartitionId = NewType('PartitionId', int)
SlotIndex = NewType('SlotIndex', int)
Importance = NewType('Importance', int)
