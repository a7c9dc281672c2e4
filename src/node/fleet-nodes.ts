/** Converts a node of the fleet to the types that other modules use for it. */
import type { ConfigurationMember } from '../core/configuration/relays.js';
import type { ListedNode } from '../core/membership/contract.js';
import type { Member } from '../core/membership/member.js';
import type { PeerAddress } from '../peer/contract.js';
import type { ProxyMachine } from '../platform/contract.js';
import type { FleetNode } from './fleet-view.js';
import type { MemberSummary } from './node-status.js';

/** Converts a member to its entry in the status. */
export function toMemberSummary({ nodeId, zone, status }: Member): MemberSummary {
  return { nodeId, zone, status };
}

/** Returns the address for links to a node. */
export function toPeerAddress(node: FleetNode): PeerAddress {
  return { host: node.host, port: node.peerPort };
}

/** Converts a node to a member of the configuration exchange. */
export function toConfigurationMember(node: FleetNode): ConfigurationMember {
  return { nodeId: node.nodeId, zone: node.zone, ...toPeerAddress(node) };
}

/** Converts a proxy of the machine list for the membership. */
export function toListedNode(proxy: ProxyMachine): ListedNode {
  return {
    nodeId: proxy.name,
    zone: proxy.zone,
    host: proxy.host,
    peerPort: proxy.peerPort,
    leaving: proxy.state === 'leaving',
  };
}

/** Maps an array again only when `read` returns another array than before. */
export function memoizeMapping<From, To>(
  read: () => readonly From[],
  mapItem: (item: From) => To,
): () => readonly To[] {
  let previousInput: readonly From[] = [];
  let output: readonly To[] = [];
  return () => {
    const current = read();
    if (current !== previousInput) output = current.map(mapItem);
    previousInput = current;
    return output;
  };
}
