import type * as specTypes from './Types';

/**
 * Models request keys (design 5.5): one key, three attempts at its request, and a chain of processes
 * that decide on it. A sent message may arrive at any later time, any number of times, or never, so
 * that loss, duplication, delay and partition need no separate events. A process or daemon acts at
 * any later time or never, which covers pauses. Replies other than a grant take effect at once or
 * are lost: they end the attempt, and a later delivery would end it in the same way.
 */

export type Outcome = '' | 'answered' | 'not-run' | 'unknown';

/** One request that a daemon received with the key. */
export interface IAttemptState {
  readonly phase: 'idle' | 'claiming' | 'granted' | 'dispatched' | 'done';
  readonly content: 0 | 1;
  /** Outcome that the caller was given. */
  readonly answer: Outcome;
  /** Whether a grant to this attempt was sent. */
  readonly grant: boolean;
  /** Outcome in the completion message that was sent. */
  readonly completion: Outcome;
  readonly ran: boolean;
}

/** What a process knows about the key. `holder` is the attempt that holds the claim, or -1. */
export interface IKnowledge {
  readonly holder: number;
  readonly outcome: Outcome;
  /** Time on the clock of the issuer. The key expires at 1. */
  readonly clock: 0 | 1;
}

/** A process that can decide on the key. */
export interface IProcessState extends IKnowledge {
  /** 1 after a crash and restart. */
  readonly incarnation: 0 | 1;
  readonly role: 'none' | 'deciding' | 'closed';
  /** Hand-over that the process sent to its successor. */
  readonly sent: IKnowledge | null;
}

/** `processes` are the issuer, its successor, and the successor of the successor. */
export interface IKeyState {
  readonly attempts: readonly IAttemptState[];
  readonly processes: readonly IProcessState[];
}

export type KeyEvent =
  | { readonly type: 'receive-request'; readonly attempt: number; readonly content: 0 | 1 }
  | { readonly type: 'claim'; readonly attempt: number; readonly process: number }
  | { readonly type: 'receive-grant'; readonly attempt: number }
  | { readonly type: 'give-up-claim'; readonly attempt: number }
  | { readonly type: 'dispatch'; readonly attempt: number }
  | { readonly type: 'refuse'; readonly attempt: number }
  | { readonly type: 'finish'; readonly attempt: number; readonly outcome: 'answered' | 'unknown' }
  | { readonly type: 'complete'; readonly attempt: number; readonly process: number }
  | { readonly type: 'expire-key'; readonly process: number }
  | { readonly type: 'drop-record'; readonly process: number }
  | { readonly type: 'close'; readonly process: number }
  | { readonly type: 'take-over'; readonly from: number; readonly process: number }
  | { readonly type: 'take-over-first-part'; readonly from: number; readonly process: number }
  | { readonly type: 'forget-take-over'; readonly process: number }
  | { readonly type: 'crash-and-restart'; readonly process: number };

/** What each mutant does instead of the protocol rule that it removes. */
export const KEY_MUTANTS = {
  'grant-to-second-attempt':
    'a key in progress is granted to another attempt, as if a lease had expired',
  'reopen-after-not-run': 'a key that ended as not run is granted again',
  'complete-from-any-attempt': 'a completion is accepted from an attempt without the claim',
  'dispatch-after-giving-up': 'a grant that arrives after the claim was abandoned is used',
  'refuse-before-claim': 'a daemon answers "not run" without holding the claim',
  'ignore-content': 'the fingerprint of a request is not compared',
  'drop-before-expiry': 'records are dropped while their key is valid',
  'grant-after-expiry': 'claims are not refused when the issue time shows that the key has expired',
  'restart-keeps-incarnation': 'a restarted issuer decides on the keys of its predecessor',
  'grant-while-closed': 'an issuer that handed over still grants',
  'take-over-twice': 'a repeated hand-over replaces the records of the successor',
  'take-over-while-closed': 'a successor that has handed over accepts a late hand-over',
  'hand-over-to-another': 'a hand-over without acknowledgement is sent to another successor',
  'hand-over-to-any-incarnation': 'a successor that restarted accepts a repeated hand-over',
  'take-over-at-first-part': 'a successor decides before the last part of a hand-over has arrived',
  'hand-over-without-clock': 'a successor restarts the clock of the issuer',
  'forget-take-over': 'a successor forgets an issuer once its keys have expired',
} as const;

export type KeyMutant = keyof typeof KEY_MUTANTS;

const IDLE: IAttemptState = {
  phase: 'idle',
  content: 0,
  answer: '',
  grant: false,
  completion: '',
  ran: false,
};
const EMPTY: IKnowledge = { holder: -1, outcome: '', clock: 0 };

function makeProcess(
  role: IProcessState['role'],
  incarnation: 0 | 1,
  knowledge: IKnowledge,
  sent: IKnowledge | null,
): IProcessState {
  const { holder, outcome, clock } = knowledge;
  return { holder, outcome, clock, incarnation, role, sent };
}

export function initialState(attemptCount: number): IKeyState {
  return {
    attempts: Array.from({ length: attemptCount }, () => IDLE),
    processes: [
      makeProcess('deciding', 0, EMPTY, null),
      makeProcess('none', 0, EMPTY, null),
      makeProcess('none', 0, EMPTY, null),
    ],
  };
}

/** Transitions of the protocol, without the rule that a mutant removes. */
export class KeyProtocol {
  public constructor(private readonly mutant?: KeyMutant) {}

  public next(state: IKeyState, event: KeyEvent): IKeyState {
    if (event.type === 'claim') return this.claim(state, event.attempt, event.process);
    if ('process' in event) {
      const processes = [...state.processes];
      processes[event.process] = this.nextProcess(state, event);
      return { attempts: state.attempts, processes };
    }
    const attempts = [...state.attempts];
    const attempt = attempts[event.attempt] as IAttemptState;
    attempts[event.attempt] = KeyProtocol.nextAttempt(attempt, event);
    return { attempts, processes: state.processes };
  }

  private static nextAttempt(
    attempt: IAttemptState,
    event: Exclude<KeyEvent, { process: number }>,
  ): IAttemptState {
    switch (event.type) {
      case 'receive-request':
        return { ...attempt, phase: 'claiming', content: event.content };
      case 'receive-grant':
        return { ...attempt, phase: 'granted' };
      case 'give-up-claim':
        return { ...attempt, phase: 'done', answer: 'unknown', completion: 'not-run' };
      case 'dispatch':
        // Only a mutant dispatches after it has answered the caller.
        return { ...attempt, phase: attempt.phase === 'done' ? 'done' : 'dispatched', ran: true };
      case 'refuse':
        return { ...attempt, phase: 'done', answer: 'not-run', completion: 'not-run' };
      default:
        return { ...attempt, phase: 'done', answer: event.outcome, completion: event.outcome };
    }
  }

  private claim(state: IKeyState, index: number, processIndex: number): IKeyState {
    const attempt = state.attempts[index] as IAttemptState;
    const process = state.processes[processIndex] as IProcessState;
    const verdict = this.verdictOn(state, index, process);
    if (verdict === 'ignored') return state;
    const attempts = [...state.attempts];
    if (verdict !== 'granted') {
      if (attempt.phase === 'claiming') {
        attempts[index] = { ...attempt, phase: 'done', answer: verdict };
      }
      return { attempts, processes: state.processes };
    }
    attempts[index] = { ...attempt, grant: true };
    const processes = [...state.processes];
    processes[processIndex] = { ...process, holder: index, outcome: '' };
    return { attempts, processes };
  }

  /** Returns the reply to a claim: a grant, the outcome for the caller, or 'ignored'. */
  public verdictOn(
    state: IKeyState,
    index: number,
    process: IProcessState,
  ): 'ignored' | 'granted' | Exclude<Outcome, ''> {
    const grantsWhileClosed = this.mutant === 'grant-while-closed' && process.role === 'closed';
    if (process.role !== 'deciding' && !grantsWhileClosed) return 'ignored';
    if (process.clock === 1 && this.mutant !== 'grant-after-expiry') return 'unknown';
    if (process.holder === -1) return 'granted';
    const hasSameContent =
      state.attempts[process.holder]?.content === state.attempts[index]?.content;
    if (!hasSameContent && this.mutant !== 'ignore-content') return 'not-run';
    if (process.outcome === 'not-run' && this.mutant === 'reopen-after-not-run') return 'granted';
    if (process.outcome !== '') return process.outcome;
    if (process.holder === index || this.mutant === 'grant-to-second-attempt') return 'granted';
    return 'unknown';
  }

  private nextProcess(
    state: IKeyState,
    event: Exclude<Extract<KeyEvent, { process: number }>, { type: 'claim' }>,
  ): IProcessState {
    const process = state.processes[event.process] as IProcessState;
    switch (event.type) {
      case 'complete': {
        const outcome = state.attempts[event.attempt]?.completion ?? '';
        return { ...process, outcome };
      }
      case 'expire-key':
        return { ...process, clock: 1 };
      case 'drop-record':
        return { ...process, holder: -1, outcome: '' };
      case 'close': {
        const { holder, outcome, clock } = process;
        return { ...process, role: 'closed', sent: { holder, outcome, clock } };
      }
      case 'take-over': {
        const sent = state.processes[event.from]?.sent ?? EMPTY;
        const clock = this.mutant === 'hand-over-without-clock' ? 0 : sent.clock;
        return makeProcess('deciding', process.incarnation, { ...sent, clock }, process.sent);
      }
      case 'take-over-first-part':
        return makeProcess('deciding', process.incarnation, EMPTY, process.sent);
      case 'forget-take-over':
        return makeProcess('none', process.incarnation, EMPTY, process.sent);
      default: {
        const decides = this.mutant === 'restart-keeps-incarnation' && event.process === 0;
        return makeProcess(decides ? 'deciding' : 'none', 1, EMPTY, process.sent);
      }
    }
  }
}

export const KEY_INVARIANTS: readonly specTypes.IInvariant<IKeyState>[] = [
  {
    name: 'at most one attempt runs the request of a key',
    holds: (_before, { attempts }) => attempts.filter(({ ran }) => ran).length <= 1,
  },
  {
    name: 'the answer "not run" stays true',
    holds: (_before, { attempts }) =>
      attempts.every(
        (attempt) =>
          attempt.answer !== 'not-run' ||
          attempts.every((other) => !other.ran || other.content !== attempt.content),
      ),
  },
  {
    name: 'an answer belongs to the request that the caller sent',
    holds: (_before, { attempts }) =>
      attempts.every(
        (attempt) =>
          attempt.answer !== 'answered' ||
          attempts.some((other) => other.ran && other.content === attempt.content),
      ),
  },
  {
    name: 'at most one process decides on a key',
    holds: (_before, { processes }) =>
      processes.filter(({ role }) => role === 'deciding').length <= 1,
  },
  {
    name: 'the answer to a caller never changes',
    holds: (before, after) =>
      before.attempts.every(
        ({ answer }, index) => answer === '' || after.attempts[index]?.answer === answer,
      ),
  },
];
