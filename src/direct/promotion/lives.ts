/** Calls to instances that are for one life only: an instance that was born again must not answer for the one before. */
import { errAsync } from 'neverthrow';
import type { InstanceControl, InstanceEntry } from '../contract.js';
import { InstanceControlError } from '../errors.js';

/** @param isOver whether another life has the instance's id now */
export function forOneLife(
  control: InstanceControl,
  isOver: (instance: InstanceEntry) => boolean,
): InstanceControl {
  const over = ({ id }: InstanceEntry) =>
    errAsync(new InstanceControlError(`${id}: it was born again since`, 'misrouted'));
  return {
    status: (instance, ...rest) =>
      isOver(instance) ? over(instance) : control.status(instance, ...rest),
    pause: (instance, ...rest) =>
      isOver(instance) ? over(instance) : control.pause(instance, ...rest),
    resume: (instance, ...rest) =>
      isOver(instance) ? over(instance) : control.resume(instance, ...rest),
    demote: (instance, ...rest) =>
      isOver(instance) ? over(instance) : control.demote(instance, ...rest),
    close: () => control.close(),
  };
}
