import type * as directoryTypes from '../directory/Types';

/** Tells which registrations of servers state something that was not known before. */
export class NewStatements {
  private known: ReadonlyMap<string, directoryTypes.IRegistration> | undefined;

  /** Whether no list was taken before, so that servers are new to this daemon but not started. */
  public get isFirst(): boolean {
    return this.known === undefined;
  }

  /** Returns the registrations of a list that are not repeated from the one before. */
  public take(
    registrations: readonly directoryTypes.IRegistration[],
  ): readonly directoryTypes.IRegistration[] {
    const { known } = this;
    this.known = new Map(registrations.map((registration) => [registration.id, registration]));
    return registrations.filter(
      (registration) => !NewStatements.isRepeated(registration, known?.get(registration.id)),
    );
  }

  private static isRepeated(
    registration: directoryTypes.IRegistration,
    previous: directoryTypes.IRegistration | undefined,
  ): boolean {
    if (previous === registration) return true;
    if (previous === undefined || previous.startedAtMs !== registration.startedAtMs) return false;
    if (registration.sequence === undefined || previous.sequence === undefined) return false;
    return registration.sequence <= previous.sequence;
  }
}
