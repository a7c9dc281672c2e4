/** Calls to instances that are for one life only: an instance that was born again must not answer for the one before. */
import { errAsync } from 'neverthrow';
import type { InstanceControl, InstanceEntry } from '../contract.js';
import { InstanceControlError } from '../errors.js';

/** @param isReplaced whether another life has the instance's id now */
export function rejectReplacedIncarnations(
  control: InstanceControl,
  isReplaced: (instance: InstanceEntry) => boolean,
): InstanceControl {
  const rejectReplaced = ({ id }: InstanceEntry) =>
    errAsync(new InstanceControlError(`${id}: it was born again since`, 'misrouted'));
  return {
    status: (instance, ...rest) =>
      isReplaced(instance) ? rejectReplaced(instance) : control.status(instance, ...rest),
    pause: (instance, ...rest) =>
      isReplaced(instance) ? rejectReplaced(instance) : control.pause(instance, ...rest),
    resume: (instance, ...rest) =>
      isReplaced(instance) ? rejectReplaced(instance) : control.resume(instance, ...rest),
    demote: (instance, ...rest) =>
      isReplaced(instance) ? rejectReplaced(instance) : control.demote(instance, ...rest),
    close: () => control.close(),
  };
}
