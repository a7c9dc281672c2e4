/** The peer links of a starting node: they listen first; services are added to the router later. */
import type { Result } from 'neverthrow';
import type { MeadowstackError } from '../core/errors.js';
import type { OwnMember } from '../core/membership/machine.js';
import { loadHash64 } from '../core/ownership/hash.js';
import type { Hash64 } from '../core/ownership/rendezvous.js';
import type { NodeIdentity, PeerAddress } from '../peer/contract.js';
import { TcpPeerTransport } from '../peer/transport.js';
import type { FleetNode } from './fleet-view.js';
import { PeerRouter } from './peer-router.js';
import type { Settings } from './settings.js';
import { clusterSecretOf, fleetTagsOf } from './settings-values.js';

/** The open links of a node, with the identity, address and hash that its services need. */
export interface NodeLinks {
  readonly identity: NodeIdentity;
  readonly router: PeerRouter;
  readonly transport: TcpPeerTransport;
  readonly address: PeerAddress;
  readonly hash: Hash64;
}

/** Starts listening for peers. */
export async function openLinks(settings: Settings): Promise<Result<NodeLinks, MeadowstackError>> {
  const identity = { nodeId: settings.nodeId, incarnation: Date.now() };
  const router = new PeerRouter();
  const clusterSecret = clusterSecretOf(settings);
  const transport = new TcpPeerTransport({
    identity,
    handlers: router,
    // Only links with calls or streams in progress are checked; after three heartbeat periods
    // without a byte, a hung owner counts as lost.
    limits: { heartbeatPeriodMs: settings.peer.heartbeatMs },
    fleet: fleetTagsOf(settings),
    events: {
      onLinkDown: (peer) => router.handleLinkDown(peer),
      onForeignFleet: (identity, peer) => router.handleForeignFleet(identity, peer),
    },
    ...(clusterSecret === undefined ? {} : { clusterSecret }),
  });
  const [listening, hash] = await Promise.all([transport.listen(settings.peer), loadHash64()]);
  return listening.map((address) => ({ identity, router, transport, address, hash }));
}

/** Describes this node as its peers see it. */
export function toOwnMember(settings: Settings, links: NodeLinks): OwnMember & FleetNode {
  return {
    ...links.identity,
    zone: settings.zone,
    host: links.address.host,
    peerPort: links.address.port,
  };
}
