import type * as callTypes from '../../common/call/Types';
import type * as serverReach from '../../common/reach/ServerReach';
import type * as tableTypes from '../../common/table/Types';
import type * as types from '../../common/Types';
import * as headers from '../dispatch/Headers';
import type * as peer from '../peer/generated/peer';
import * as fingerprints from '../server/Fingerprints';
import type * as serverTypes from '../server/Types';
import * as forwardMessages from './ForwardMessages';
import type * as forwardTypes from './Types';

/** Calls of peers in progress at once, so that this daemon's own callers come first. */
const MAX_CALLS = 256;

/** Whether the routes of a table allow a call that a peer routed by its own. */
function isAllowed(request: peer.ForwardRequest, table: tableTypes.ITable): boolean {
  const { routes } = table;
  const { configurationVersion } = request;
  if (routes === undefined || configurationVersion === undefined) return true;
  if (configurationVersion === routes.configurationVersion) return true;
  if (configurationVersion > routes.configurationVersion) return false;
  const host = headers.find(request.headers, 'host') ?? '';
  const path = request.path.split('?', 1)[0] ?? request.path;
  return routes.servicesOf(host, path).includes(request.service);
}

/** Runs calls for peers that do not reach the servers of a service. It forwards none of them. */
export class ForwardHandler implements forwardTypes.IForwardHandler {
  private running = 0;

  public constructor(
    private readonly daemonState: Pick<serverTypes.IDaemonState, 'table' | 'phase'>,
    private readonly local: forwardTypes.ILocalCalls,
    private readonly reach: serverReach.ServerReach,
    private readonly clock: types.IClock,
  ) {}

  /** Number of calls of peers without an outcome yet. */
  public get inFlight(): number {
    return this.running;
  }

  /** @param onReply Called exactly once, unless the call is cancelled first. */
  public forward(
    request: peer.ForwardRequest,
    onReply: (reply: peer.ForwardReply) => void,
  ): callTypes.IAttempt {
    const call = this.accept(request);
    if (typeof call === 'string') {
      onReply(forwardMessages.toCannotHelp(call));
      return { cancel: () => undefined };
    }
    this.running += 1;
    let hasEnded = false;
    const end = () => {
      if (!hasEnded) this.running -= 1;
      hasEnded = true;
    };
    const attempt = this.local.start(call, (outcome) => {
      end();
      onReply(forwardMessages.toReply(outcome));
    });
    return {
      cancel: () => {
        end();
        attempt.cancel();
      },
    };
  }

  /** Returns the call to run, or why this daemon cannot help. */
  private accept(request: peer.ForwardRequest): callTypes.ICall | string {
    const { table, phase } = this.daemonState;
    if (phase !== 'ready') return `the daemon is ${phase}`;
    const service = table?.services.get(request.service);
    if (table === undefined || service === undefined) return 'the service is not known';
    // Servers take a call for one of this daemon, whose callers must not see an older version again.
    if (!isAllowed(request, table)) return 'the configuration here routes the call otherwise';
    if (!this.reach.isReachable(service.name)) return 'the service is out of reach here too';
    if (this.running >= MAX_CALLS) return `the daemon runs ${this.running} calls of peers`;
    return forwardMessages.toCall(request, table, service, this.clock.monotonicMs(), () =>
      fingerprints.fingerprintOf(request.method, request.path, request.body),
    );
  }
}
