import * as emitter from '../Emitter';
import type * as types from '../Types';
import * as tableParser from './TableParser';
import type * as tableTypes from './Types';

/**
 * Holds the active table. Only a table with a higher version replaces it, so the daemon never
 * reverts to an older table.
 */
export class TableHolder {
  private readonly acceptedEmitter = new emitter.Emitter<tableTypes.ITable>();

  private activeTable: tableTypes.ITable | undefined;

  /** Fires with each table that becomes active. */
  public readonly onAccepted: types.Event<tableTypes.ITable> = this.acceptedEmitter.event;

  /** The active table, or undefined before the first one. */
  public get current(): tableTypes.ITable | undefined {
    return this.activeTable;
  }

  /** Parses published text and makes it the active table if it is valid and newer. */
  public offer(text: string): tableTypes.TableOfferResult {
    if (text === this.activeTable?.text) return { kind: 'unchanged' };
    return this.offerParsed(tableParser.TableParser.parse(text));
  }

  /** Offers an already parsed table. Other tables may have become active during the parse. */
  public offerParsed(
    parsed: types.Result<tableTypes.ITable, readonly tableTypes.ITableProblem[]>,
  ): tableTypes.TableOfferResult {
    if (!parsed.ok) return { kind: 'invalid', problems: parsed.error };
    const table = parsed.value;
    const active = this.activeTable;
    if (table.hash === active?.hash && table.version === active.version) {
      return { kind: 'unchanged' };
    }
    if (active !== undefined && table.version < active.version) {
      const versions = { offeredVersion: table.version, activeVersion: active.version };
      return { kind: 'older', ...versions };
    }
    if (active !== undefined && table.version === active.version) {
      return { kind: 'conflict', version: table.version, offeredHash: table.hash };
    }
    this.activeTable = table;
    this.acceptedEmitter.fire(table);
    return { kind: 'accepted', table };
  }
}
