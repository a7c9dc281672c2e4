/** Requests and instances for tests of a database group's state machine. */
import type {
  GroupEffect,
  InstanceDescription,
  InstanceState,
} from '../../src/core/group/contract.js';
import type { GroupRequest } from '../../src/core/request.js';

/** An instance with the sizes of the deployment `bureau`. */
export function instance(
  name: string,
  overrides: Partial<InstanceDescription> = {},
): InstanceDescription {
  return { name, zone: name, slots: 5, connectionBudget: 35, leaving: false, ...overrides };
}

/** By default a write of tenant `bureau` with its deadline at 1000 ms. */
export function request(id: string, overrides: Partial<GroupRequest> = {}): GroupRequest {
  return {
    id,
    tenant: 'bureau',
    databaseRole: 'bureau',
    database: 'orders',
    access: 'write',
    kind: 'default',
    weight: 1,
    stalenessBoundMs: 0,
    repeatable: false,
    session: { type: 'known', position: { timeline: 0, lsn: 0n } },
    deadline: 1000,
    hold: 'statement',
    zone: 'a',
    ...overrides,
  };
}

/** A read that accepts data up to half a second old. */
export function staleRead(id: string, overrides: Partial<GroupRequest> = {}): GroupRequest {
  return request(id, {
    access: 'read',
    repeatable: true,
    stalenessBoundMs: 500,
    ...overrides,
  });
}

/** State that an instance reports. */
export function state(
  writable: boolean,
  timeline: number,
  replayed: number,
  received = replayed,
): InstanceState {
  return {
    writable,
    replayedPosition: { timeline, lsn: BigInt(replayed) },
    receivedPosition: { timeline, lsn: BigInt(received) },
  };
}

/** The effects of one type. */
export function effectsOf<Type extends GroupEffect['type']>(
  effects: readonly GroupEffect[],
  type: Type,
): Extract<GroupEffect, { type: Type }>[] {
  return effects.filter((effect): effect is Extract<GroupEffect, { type: Type }> => {
    return effect.type === type;
  });
}
