/** The links of a node that is being put together: listening already, routed once the node stands. */
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
import { clusterSecretOf } from './settings-values.js';

/** The open links of a node, and what came to be known while they were opened. */
export interface NodeLinks {
  readonly identity: NodeIdentity;
  readonly router: PeerRouter;
  readonly transport: TcpPeerTransport;
  readonly address: PeerAddress;
  readonly hash: Hash64;
}

/** Begins to listen for peers. */
export async function openLinks(settings: Settings): Promise<Result<NodeLinks, MeadowstackError>> {
  const identity = { nodeId: settings.nodeId, incarnation: Date.now() };
  const router = new PeerRouter();
  const clusterSecret = clusterSecretOf(settings);
  const transport = new TcpPeerTransport({
    identity,
    handlers: router,
    // Only links with work under way are asked; a frozen owner is given up after three of these.
    limits: { heartbeatPeriodMs: settings.peer.heartbeatMs },
    events: { onLinkDown: (peer) => router.linkDown(peer) },
    ...(clusterSecret === undefined ? {} : { clusterSecret }),
  });
  const [listening, hash] = await Promise.all([transport.listen(settings.peer), loadHash64()]);
  return listening.map((address) => ({ identity, router, transport, address, hash }));
}

/** This node as its peers see it. */
export function selfOf(settings: Settings, links: NodeLinks): OwnMember & FleetNode {
  return {
    ...links.identity,
    zone: settings.zone,
    host: links.address.host,
    peerPort: links.address.port,
  };
}
