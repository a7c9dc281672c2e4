/**
 * Lives of instances: one that starts again under the id that it had holds nothing of before. Each life has an id of its
 * own, so that whatever is believed of one ends with it; what answers under the id later is another one.
 */

/** What tells the lives of one instance from one another. */
export interface InstanceIncarnation {
  readonly id: string;
  /** What all lives of the instance have in common; absent where the platform does not tell lives. */
  readonly lifeOf?: string | undefined;
}

/** Whether both are lives of one instance, and not the same life. */
export function isOtherIncarnation(left: InstanceIncarnation, right: InstanceIncarnation): boolean {
  return left.lifeOf !== undefined && left.lifeOf === right.lifeOf && left.id !== right.id;
}
