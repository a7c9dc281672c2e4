/**
 * Which database system each group is. Addresses are reused: an instance of another group may answer where one of this
 * group did. All instances of a replicating group share one system identifier, and no other group has it. A group is the
 * system that a majority of its listed instances first showed, for as long as this process runs: if all addresses of a
 * group were reused, another majority would show the other system. No I/O.
 */
import type { GroupName, InstanceName } from '../request.js';

/** An identifier in view of its group. `unknown`: too few instances of the group have shown theirs. */
export type IdentityVerdict = 'own' | 'foreign' | 'unknown';

export class SystemIdentities {
  /** Identifier that each instance showed last, by group. */
  readonly #shown = new Map<GroupName, Map<InstanceName, string>>();
  readonly #agreed = new Map<GroupName, string>();

  /** Identifier of the group; undefined until a majority has shown one. */
  of(group: GroupName): string | undefined {
    return this.#agreed.get(group);
  }

  /** Records what an instance shows. `listed`: the instances of its group. */
  record(
    group: GroupName,
    instance: InstanceName,
    identifier: string,
    listed: readonly InstanceName[],
  ): void {
    const shown = this.#shown.get(group) ?? new Map<InstanceName, string>();
    this.#shown.set(group, shown.set(instance, identifier));
    if (this.#agreed.has(group)) return;
    const equalCount = listed.filter((name) => shown.get(name) === identifier).length;
    if (equalCount * 2 > listed.length) this.#agreed.set(group, identifier);
  }

  judge(group: GroupName, identifier: string): IdentityVerdict {
    const agreed = this.#agreed.get(group);
    if (agreed === undefined) return 'unknown';
    return agreed === identifier ? 'own' : 'foreign';
  }
}
