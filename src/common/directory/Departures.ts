import type * as directoryTypes from './Types';

/** Last statement of a server process that is draining or was removed. */
interface IDeparture {
  readonly server: directoryTypes.IRegistration;
  readonly revision: number;
}

/**
 * What is known of servers that are draining or were removed. A directory service that was restored
 * from a copy publishes older statements of them again, under newer revisions.
 */
export class Departures {
  private readonly byId = new Map<string, IDeparture>();

  /** Revision of the latest listing after a restore; statements before it may be published again. */
  private restoredRevision = 0;

  /** Records that the directory service was restored, as its listing at `revision` shows. */
  public recordRestored(revision: number): void {
    this.restoredRevision = Math.max(this.restoredRevision, revision);
  }

  public record(server: directoryTypes.IRegistration, revision: number): void {
    this.byId.set(server.id, { server, revision });
  }

  public forget(id: string): void {
    this.byId.delete(id);
  }

  /** Whether a statement is older than the one with which the server left. */
  public isOutdated(server: directoryTypes.IRegistration): boolean {
    const departure = this.byId.get(server.id);
    if (departure === undefined || departure.revision >= this.restoredRevision) return false;
    const { startedAtMs, sequence } = departure.server;
    if (server.startedAtMs !== startedAtMs) return server.startedAtMs < startedAtMs;
    if (server.sequence === undefined || sequence === undefined) return false;
    return server.state === 'ready' && server.sequence <= sequence;
  }
}
