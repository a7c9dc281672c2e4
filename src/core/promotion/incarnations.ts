/**
 * Incarnations of instances: an instance that restarts under its platform id has none of its earlier state. Each
 * incarnation has its own id, so that nothing known of one is attributed to a later one.
 */

/** Identifies an incarnation of an instance. */
export interface InstanceIncarnation {
  readonly id: string;
  /** Id shared by all incarnations of the instance; absent where the platform does not distinguish them. */
  readonly lifeOf?: string | undefined;
}

/** Whether both are incarnations of one instance, or the same one. */
export function isSameInstance(left: InstanceIncarnation, right: InstanceIncarnation): boolean {
  return left.id === right.id || isOtherIncarnation(left, right);
}

/** Whether both are incarnations of one instance, but different ones. */
export function isOtherIncarnation(left: InstanceIncarnation, right: InstanceIncarnation): boolean {
  return left.lifeOf !== undefined && left.lifeOf === right.lifeOf && left.id !== right.id;
}
