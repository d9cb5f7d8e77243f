import type * as callCoordinator from '../common/call/CallCoordinator';
import type * as callTypes from '../common/call/Types';
import type * as serviceSet from './ServiceSet';

/** Starts a call, or refuses it if the active table no longer contains its service. */
export function startCall(
  call: callTypes.ICall,
  services: serviceSet.ServiceSet,
  coordinator: callCoordinator.CallCoordinator,
  onOutcome: (outcome: callTypes.CallOutcome) => void,
): callTypes.IRunningCall {
  const balancer = services.balancerOf(call.service.name);
  if (balancer === undefined) {
    const detail = 'the service is no longer in the table';
    onOutcome({ kind: 'not-run', reason: 'no-backend-server', detail });
    return { cancel: () => undefined, abandon: () => undefined };
  }
  return coordinator.start(call, balancer, onOutcome);
}
