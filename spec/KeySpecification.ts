import * as keyProtocol from './KeyProtocol';
import type * as specTypes from './Types';

type State = keyProtocol.IKeyState;
type Process = keyProtocol.IProcessState;
type KeyEvent = keyProtocol.KeyEvent;

const DEFAULT_ATTEMPTS = 3;

/**
 * Enumerates the enabled events of the key protocol, without completions and hand-overs that their
 * receiver would ignore.
 */
class KeyEvents {
  public constructor(private readonly mutant?: keyProtocol.KeyMutant) {}

  public enabledEvents(state: State): KeyEvent[] {
    return [
      ...state.attempts.flatMap((_attempt, index) => this.attemptEvents(state, index)),
      ...state.processes.flatMap((_process, index) => this.processEvents(state, index)),
    ];
  }

  private attemptEvents(state: State, attempt: number): KeyEvent[] {
    const { phase, grant, answer, completion, ran } = state.attempts[
      attempt
    ] as keyProtocol.IAttemptState;
    switch (phase) {
      case 'idle':
        return KeyEvents.receiveEvents(state, attempt);
      case 'claiming':
        return [
          ...(grant ? [{ type: 'receive-grant', attempt } as const] : []),
          { type: 'give-up-claim', attempt },
          ...(this.mutant === 'refuse-before-claim' ? [{ type: 'refuse', attempt } as const] : []),
        ];
      case 'granted':
        return [
          { type: 'dispatch', attempt },
          { type: 'refuse', attempt },
        ];
      case 'dispatched':
        return [
          { type: 'finish', attempt, outcome: 'answered' },
          { type: 'finish', attempt, outcome: 'unknown' },
        ];
      default: {
        const gaveUp = answer === 'unknown' && completion === 'not-run' && grant && !ran;
        const usesGrant = this.mutant === 'dispatch-after-giving-up' && gaveUp;
        return usesGrant ? [{ type: 'dispatch', attempt }] : [];
      }
    }
  }

  /** Attempts start in order, and only the last one may have different content. */
  private static receiveEvents(state: State, attempt: number): KeyEvent[] {
    if (attempt > 0 && state.attempts[attempt - 1]?.phase === 'idle') return [];
    const first: KeyEvent = { type: 'receive-request', attempt, content: 0 };
    const isLast = attempt === state.attempts.length - 1;
    return isLast ? [first, { type: 'receive-request', attempt, content: 1 }] : [first];
  }

  private processEvents(state: State, index: number): KeyEvent[] {
    const process = state.processes[index] as Process;
    const events: KeyEvent[] = state.attempts.flatMap((attempt, attemptIndex) => {
      if (attempt.phase === 'idle') return [];
      const claim: KeyEvent = { type: 'claim', attempt: attemptIndex, process: index };
      const complete: KeyEvent = { type: 'complete', attempt: attemptIndex, process: index };
      return this.acceptsCompletion(state, attemptIndex, process) ? [claim, complete] : [claim];
    });
    if (process.role === 'deciding') this.addDecidingEvents(events, process, index);
    state.processes.forEach((_from, from) => this.addTakeOver(events, state, from, index));
    // The issuer and its first successor can each crash once.
    if (process.incarnation === 0 && index < 2) {
      events.push({ type: 'crash-and-restart', process: index });
    }
    return events;
  }

  private acceptsCompletion(state: State, attempt: number, process: Process): boolean {
    const completion = state.attempts[attempt]?.completion ?? '';
    if (completion === '' || process.role !== 'deciding') return false;
    if (process.holder === -1 || process.outcome !== '') return false;
    return process.holder === attempt || this.mutant === 'complete-from-any-attempt';
  }

  private addDecidingEvents(events: KeyEvent[], process: Process, index: number): void {
    if (process.clock === 0) events.push({ type: 'expire-key', process: index });
    const mayDrop = process.clock === 1 || this.mutant === 'drop-before-expiry';
    if (process.holder !== -1 && mayDrop) events.push({ type: 'drop-record', process: index });
    if (index < 2) events.push({ type: 'close', process: index });
    if (this.mutant === 'forget-take-over' && index > 0 && process.clock === 1) {
      events.push({ type: 'forget-take-over', process: index });
    }
  }

  private addTakeOver(events: KeyEvent[], state: State, from: number, process: number): void {
    if ((state.processes[from] as Process).sent === null || from >= process) return;
    const isSuccessor = process === from + 1;
    if (!isSuccessor && this.mutant !== 'hand-over-to-another') return;
    const { role, incarnation } = state.processes[process] as Process;
    const accepts =
      (role === 'none' && incarnation === 0) ||
      (role === 'none' && this.mutant === 'hand-over-to-any-incarnation') ||
      (role === 'deciding' && this.mutant === 'take-over-twice') ||
      (role === 'closed' && this.mutant === 'take-over-while-closed');
    if (!accepts) return;
    events.push({ type: 'take-over', from, process });
    if (this.mutant === 'take-over-at-first-part') {
      events.push({ type: 'take-over-first-part', from, process });
    }
  }
}

/** Returns the specification of request keys, without the rule that a mutant removes. */
export function keySpecification(
  mutant?: keyProtocol.KeyMutant,
  attemptCount = DEFAULT_ATTEMPTS,
): specTypes.ISpecification<State, KeyEvent> {
  const protocol = new keyProtocol.KeyProtocol(mutant);
  const events = new KeyEvents(mutant);
  return {
    name: 'request keys',
    initial: keyProtocol.initialState(attemptCount),
    invariants: keyProtocol.KEY_INVARIANTS,
    enabledEvents: (state) => events.enabledEvents(state),
    next: (state, event) => protocol.next(state, event),
  };
}
