import type * as types from '../../common/Types';
import type * as serverTypes from './Types';

/**
 * Time, in milliseconds, that a request waits for a daemon that is starting. After a restart of the
 * whole fleet a refusal would cost the caller a retry, which reaches another daemon that is starting.
 */
const MAX_START_WAIT_MS = 500;

/** Delays a request that arrives while the daemon starts. */
export class StartWait implements types.IDisposable {
  private waits: readonly types.IDisposable[] = [];

  public constructor(
    private readonly daemonState: serverTypes.IDaemonState,
    private readonly clock: types.IClock,
  ) {}

  /** Calls `onEnd` once the daemon is ready or the request has waited long enough, or at once. */
  public begin(onEnd: () => void): void {
    const { phase, onReady } = this.daemonState;
    if (phase !== 'starting' || onReady === undefined) {
      onEnd();
      return;
    }
    const end = () => {
      this.dispose();
      onEnd();
    };
    this.waits = [onReady(end), this.clock.setTimer(MAX_START_WAIT_MS, end)];
  }

  public dispose(): void {
    this.waits.forEach((wait) => wait.dispose());
    this.waits = [];
  }
}
