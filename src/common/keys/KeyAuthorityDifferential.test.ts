import * as fc from 'fast-check';

import * as manualClock from '../ManualClock';
import * as keyAuthority from './KeyAuthority';
import * as keyReferenceModel from './testing/KeyReferenceModel';
import type * as keyTypes from './Types';

const LIFETIME_MS = keyAuthority.DEFAULT_LIMITS.lifetimeMs;
const SUCCESSOR_INCARNATION = 2;

class Real {
  public readonly clock = new manualClock.ManualClock();

  public readonly authorities: readonly keyAuthority.KeyAuthority[];

  public readonly keys: string[] = [];

  public transfers: readonly keyTypes.IKeyTransfer[] = [];

  public constructor(maxClaims: number) {
    this.authorities = [1, SUCCESSOR_INCARNATION].map(
      (incarnation) =>
        new keyAuthority.KeyAuthority(
          { address: `10.0.0.${incarnation}:7000`, incarnation },
          Buffer.alloc(32, incarnation),
          this.clock,
          { ...keyAuthority.DEFAULT_LIMITS, maxClaims },
        ),
    );
  }

  public at(process: number): keyAuthority.KeyAuthority {
    return this.authorities[process] as keyAuthority.KeyAuthority;
  }
}

type Command = fc.Command<keyReferenceModel.KeyReferenceModel, Real>;

function command(
  name: string,
  run: (model: keyReferenceModel.KeyReferenceModel, real: Real) => void,
  needsKeys = false,
): Command {
  return {
    check: (model) => !needsKeys || model.issueTimes.length > 0,
    run,
    toString: () => name,
  };
}

const issue = fc.integer({ min: 1, max: 3 }).map((count) =>
  command(`issue(${count})`, (model, real) => {
    const issued = real.at(0).issue(count);
    expect(issued.ok).toBe(model.issue(count));
    if (issued.ok) real.keys.push(...issued.value);
  }),
);

const target = fc.record({
  process: fc.nat(1),
  index: fc.nat(20),
  attempt: fc.constantFrom('a', 'b', 'c'),
});

const claim = fc
  .tuple(target, fc.constantFrom('f', 'f', 'f', 'g'))
  .map(([{ process, index, attempt }, fingerprint]) =>
    command(
      `claim(${process}, ${index}, ${attempt}, ${fingerprint})`,
      (model, real) => {
        const key = index % model.issueTimes.length;
        const text = real.keys[key] as string;
        const verdict = real.at(process).claim(text, attempt, fingerprint);
        expect(verdict).toEqual(model.claim(process, key, attempt, fingerprint));
      },
      true,
    ),
  );

const outcomes = fc.constantFrom<keyTypes.KeyOutcome>(
  { kind: 'answered', answer: { status: 200, headers: ['a', 'b'], body: Buffer.from('x') } },
  { kind: 'not-run' },
  { kind: 'unknown' },
);

const complete = fc.tuple(target, outcomes).map(([{ process, index, attempt }, outcome]) =>
  command(
    `complete(${process}, ${index}, ${attempt}, ${outcome.kind})`,
    (model, real) => {
      const key = index % model.issueTimes.length;
      const recorded = real.at(process).complete(real.keys[key] as string, attempt, outcome);
      const expected = model.complete(process, key, attempt, outcome);
      if (expected !== undefined) expect(recorded).toBe(expected);
    },
    true,
  ),
);

const advance = fc
  .oneof(
    fc.nat(LIFETIME_MS),
    fc.constantFrom(0, 9_999, LIFETIME_MS - 1, LIFETIME_MS, 2 * LIFETIME_MS),
  )
  .map((durationMs) =>
    command(`advance(${durationMs})`, (model, real) => {
      model.advance(durationMs);
      real.clock.advance(durationMs);
    }),
  );

const close = fc.constant(
  command('close', (model, real) => {
    model.close();
    real.at(0).close();
    real.transfers = real.at(0).transfers();
  }),
);

const takeOver = fc.boolean().map((isChosenProcess) =>
  command(`takeOver(${isChosenProcess})`, (model, real) => {
    const successorIncarnation = isChosenProcess ? SUCCESSOR_INCARNATION : 9;
    const base = { part: 0, last: true, successorIncarnation };
    const replies = real.transfers.map((part) => real.at(1).takeOver({ ...part, ...base }));
    const expected = isChosenProcess && model.takeOver();
    expect(replies).toEqual(real.transfers.map(() => expected));
  }),
);

test('agrees with the reference model on random histories', () => {
  const commands = fc.commands(
    [issue, issue, claim, claim, claim, complete, complete, advance, close, takeOver],
    { maxCommands: 60, size: 'max' },
  );
  fc.assert(
    fc.property(commands, (history) => {
      const setup = () => ({
        model: new keyReferenceModel.KeyReferenceModel(LIFETIME_MS),
        real: new Real(1_000),
      });
      fc.modelRun(setup, history);
    }),
    { seed: 21, numRuns: 1_000 },
  );
});

// A limit applied too late would not bound the memory; one that also applied to recorded claims
// would refuse repeated claims.
test('records at most maxClaims claims, and refuses new ones only at that limit', () => {
  const maxClaims = 4;
  const steps = fc.array(fc.record({ index: fc.nat(30), advanceMs: fc.nat(LIFETIME_MS / 3) }), {
    maxLength: 60,
    size: 'max',
  });
  fc.assert(
    fc.property(steps, (history) => {
      const real = new Real(maxClaims);
      const grantedAt = new Map<string, number>();
      history.forEach(({ index, advanceMs }) => {
        real.clock.advance(advanceMs);
        const issued = real.at(0).issue(1);
        if (issued.ok) real.keys.push(...issued.value);
        const key = real.keys[index % real.keys.length] as string;
        const verdict = real.at(0).claim(key, 'a', 'f');
        const nowMs = real.clock.monotonicMs();
        if (verdict.kind === 'granted' && !grantedAt.has(key)) grantedAt.set(key, nowMs);
        expect(real.at(0).claimCount).toBeLessThanOrEqual(maxClaims);
        if (verdict.kind !== 'too-many-claims') return;
        expect(grantedAt.has(key)).toBe(false);
        // A record outlives its key by up to 20 s: 10 s until its bucket has expired, and 10 s until
        // the next sweep.
        const keptMs = LIFETIME_MS + 20_000;
        const recorded = [...grantedAt.values()].filter((atMs) => nowMs - atMs < keptMs);
        expect(recorded.length).toBeGreaterThanOrEqual(maxClaims);
      });
    }),
    { seed: 22, numRuns: 200 },
  );
});
