/** An event of a specification. `type` names it in traces. */
export interface ISpecificationEvent {
  readonly type: string;
}

/** A property of the specification that must hold in every step. */
export interface IInvariant<TState> {
  readonly name: string;
  /** Whether the step from `before` to `after` respects the invariant. */
  holds(before: TState, after: TState): boolean;
}

/**
 * A system as a pure transition function. States are JSON values with a fixed order of members,
 * because the text of a state identifies it.
 */
export interface ISpecification<TState, TEvent extends ISpecificationEvent> {
  readonly name: string;
  readonly initial: TState;
  readonly invariants: readonly IInvariant<TState>[];
  /** Events that may occur in `state`. */
  enabledEvents(state: TState): readonly TEvent[];
  /** The state after `event`. Does not change `state`. */
  next(state: TState, event: TEvent): TState;
}

/** A shortest sequence of events that breaks an invariant. */
export interface IViolation<TEvent> {
  readonly invariant: string;
  readonly events: readonly TEvent[];
  readonly lastState: unknown;
}

/** Outcome of an exploration. */
export interface IExploration<TState, TEvent> {
  readonly states: number;
  readonly steps: number;
  /** Largest number of events on a shortest path to a state. */
  readonly depth: number;
  /** Whether the bound on states stopped the exploration. */
  readonly truncated: boolean;
  readonly violation: IViolation<TEvent> | undefined;
  /** Every state found, by its text. */
  readonly found: ReadonlyMap<string, IFoundState<TState, TEvent>>;
}

/** A state and the step that first led to it. */
export interface IFoundState<TState, TEvent> {
  readonly state: TState;
  readonly depth: number;
  readonly parent: IFoundState<TState, TEvent> | undefined;
  readonly event: TEvent | undefined;
}
