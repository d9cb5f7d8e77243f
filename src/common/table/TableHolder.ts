import * as emitter from '../Emitter';
import type * as types from '../Types';
import * as tableParser from './TableParser';
import type * as tableTypes from './Types';

/**
 * Holds the table in force. A table replaces it only with a higher version, so that the table
 * in force never goes back to an older one.
 */
export class TableHolder {
  private readonly acceptedEmitter = new emitter.Emitter<tableTypes.ITable>();

  private activeTable: tableTypes.ITable | undefined;

  /** Fires with each table that comes into force. */
  public readonly onAccepted: types.Event<tableTypes.ITable> = this.acceptedEmitter.event;

  /** The table in force, or undefined before the first one. */
  public get current(): tableTypes.ITable | undefined {
    return this.activeTable;
  }

  /** Offers published text, and puts it in force if it is valid and newer. */
  public offer(text: string): tableTypes.TableOfferResult {
    if (text === this.activeTable?.text) return { kind: 'unchanged' };
    return this.offerParsed(tableParser.TableParser.parse(text));
  }

  /** Offers the result of a parse that ran in slices. Other tables may have come first. */
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
