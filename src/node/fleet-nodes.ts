/** A node of the fleet in the forms in which the parts of the program name it. */
import type { ConfigurationMember } from '../core/configuration/relays.js';
import type { ListedNode } from '../core/membership/contract.js';
import type { Member } from '../core/membership/member.js';
import type { PeerAddress } from '../peer/contract.js';
import type { ProxyMachine } from '../platform/contract.js';
import type { FleetNode } from './fleet-view.js';
import type { MemberSummary } from './node-status.js';

/** A member as the status shows it. */
export function summaryOf({ nodeId, zone, status }: Member): MemberSummary {
  return { nodeId, zone, status };
}

/** A node's address for links. */
export function addressOf(node: FleetNode): PeerAddress {
  return { host: node.host, port: node.peerPort };
}

/** A node as the configuration names it. */
export function configurationMember(node: FleetNode): ConfigurationMember {
  return { nodeId: node.nodeId, zone: node.zone, ...addressOf(node) };
}

/** A listed proxy as the membership names it. */
export function listedNode(proxy: ProxyMachine): ListedNode {
  return {
    nodeId: proxy.name,
    zone: proxy.zone,
    host: proxy.host,
    peerPort: proxy.peerPort,
    leaving: proxy.state === 'leaving',
  };
}

/** Maps an array that is the same one until something changed, only when it has changed. */
export function keptMapping<From, To>(
  read: () => readonly From[],
  mapItem: (item: From) => To,
): () => readonly To[] {
  let from: readonly From[] = [];
  let to: readonly To[] = [];
  return () => {
    const current = read();
    if (current !== from) to = current.map(mapItem);
    from = current;
    return to;
  };
}
