/** An event of a specification, identified by its `type` in printed traces. */
export interface ISpecificationEvent {
  readonly type: string;
}

/** A property of the specification that must hold in every step. */
export interface IInvariant<TState> {
  readonly name: string;
  /** Whether the invariant holds in the step from `before` to `after`. */
  holds(before: TState, after: TState): boolean;
}

/**
 * A system as a pure transition function. States are JSON values with a fixed order of properties,
 * because a state is identified by its JSON text.
 */
export interface ISpecification<TState, TEvent extends ISpecificationEvent> {
  readonly name: string;
  readonly initial: TState;
  readonly invariants: readonly IInvariant<TState>[];
  /** Returns the events that can occur in `state`. */
  enabledEvents(state: TState): readonly TEvent[];
  /** Returns the state after `event`, without modifying `state`. */
  next(state: TState, event: TEvent): TState;
}

/** A shortest sequence of events that violates an invariant. */
export interface IViolation<TEvent> {
  readonly invariant: string;
  readonly events: readonly TEvent[];
  readonly lastState: unknown;
}

/** Result of an exploration. */
export interface IExploration<TState, TEvent> {
  readonly states: number;
  readonly steps: number;
  /** Largest distance of a visited state from the initial state, in events. */
  readonly depth: number;
  /** Whether the exploration stopped at the maximum number of states. */
  readonly truncated: boolean;
  readonly violation: IViolation<TEvent> | undefined;
  /** Every visited state, by its JSON text. */
  readonly found: ReadonlyMap<string, IFoundState<TState, TEvent>>;
}

/** A visited state and the step that first led to it. */
export interface IFoundState<TState, TEvent> {
  readonly state: TState;
  readonly depth: number;
  readonly parent: IFoundState<TState, TEvent> | undefined;
  readonly event: TEvent | undefined;
}
