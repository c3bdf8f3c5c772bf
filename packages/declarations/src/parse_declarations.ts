/** Parses and validates declarations in TOML. */

import {TomlError, parse} from 'smol-toml';
import type {z} from 'zod';
import type {DeclarationFault} from './declaration_error.js';
import {DeclarationError} from './declaration_error.js';
import type {Declarations, Section} from './schema.js';
import {
  ENTRY_SCHEMAS,
  NAME_PATTERN,
  SECTIONS,
  emptyDeclarations,
} from './schema.js';
import {checkReferences} from './check_references.js';

/** Name and content of a declaration file. */
export interface DeclarationFile {
  readonly name: string;
  readonly text: string;
}

/**
 * Parses files that together form one set of declarations. Throws
 * {@link DeclarationError} with all faults rather than only the first.
 */
export function parseDeclarations(
  files: readonly DeclarationFile[],
): Declarations {
  const faults: DeclarationFault[] = [];
  const collected = emptyDeclarations();
  const fileNameByEntry = new Map<string, string>();
  for (const file of files)
    collectFile(file, collected, fileNameByEntry, faults);
  if (faults.length === 0) {
    for (const fault of checkReferences(collected)) {
      faults.push({...fault, file: fileNameOf(fault.path, fileNameByEntry)});
    }
  }
  if (faults.length > 0) throw new DeclarationError(faults);
  return collected;
}

function fileNameOf(
  path: string,
  fileNameByEntry: ReadonlyMap<string, string>,
): string | undefined {
  for (const [entry, fileName] of fileNameByEntry) {
    if (path === entry || path.startsWith(`${entry}.`)) return fileName;
  }
  return undefined;
}

function collectFile(
  file: DeclarationFile,
  collected: Declarations,
  fileNameByEntry: Map<string, string>,
  faults: DeclarationFault[],
): void {
  const tables = parseToml(file, faults);
  for (const [section, entries] of Object.entries(tables)) {
    if (!isSection(section)) {
      faults.push(unknownSection(file, section));
      continue;
    }
    if (!isTable(entries)) {
      faults.push(
        createFault(file, section, 'found a value, expected a table'),
      );
      continue;
    }
    for (const [name, entry] of Object.entries(entries)) {
      collectEntry(
        file,
        section,
        name,
        entry,
        collected,
        fileNameByEntry,
        faults,
      );
    }
  }
}

function parseToml(
  file: DeclarationFile,
  faults: DeclarationFault[],
): Record<string, unknown> {
  try {
    return parse(file.text);
  } catch (failure) {
    if (!(failure instanceof TomlError)) throw failure;
    faults.push({
      file: file.name,
      line: failure.line,
      path: '',
      problem: failure.message.split('\n')[0] ?? 'not valid TOML',
    });
    return {};
  }
}

function collectEntry(
  file: DeclarationFile,
  section: Section,
  name: string,
  entry: unknown,
  collected: Declarations,
  fileNameByEntry: Map<string, string>,
  faults: DeclarationFault[],
): void {
  const path = `${section}.${name}`;
  const earlierFileName = fileNameByEntry.get(path);
  if (earlierFileName !== undefined) {
    faults.push(
      createFault(file, path, `declared before in ${earlierFileName}`),
    );
    return;
  }
  if (!NAME_PATTERN.test(name)) {
    faults.push(
      createFault(
        file,
        path,
        `found the name "${name}", expected lower-case letters, digits, ".", "_" or "-"`,
      ),
    );
    return;
  }
  fileNameByEntry.set(path, file.name);
  const parsed = parseEntry(section, entry);
  if (parsed.success) {
    assignEntry(collected, section, name, parsed.data);
    return;
  }
  for (const issue of parsed.error.issues) {
    faults.push(faultOfIssue(file, section, path, issue, entry));
  }
}

/** Validates one entry against its section's schema. */
export function parseEntry(
  section: Section,
  entry: unknown,
): z.ZodSafeParseResult<unknown> {
  return ENTRY_SCHEMAS[section].safeParse(entry);
}

/** Sets an entry; {@link parseEntry} must have validated it for the same section. */
export function assignEntry(
  declarations: Declarations,
  section: Section,
  name: string,
  entry: unknown,
): void {
  const entries: Record<string, unknown> = declarations[section];
  Object.defineProperty(entries, name, {
    value: entry,
    enumerable: true,
    configurable: true,
    writable: true,
  });
}

function faultOfIssue(
  file: DeclarationFile,
  section: Section,
  path: string,
  issue: z.core.$ZodIssue,
  entry: unknown,
): DeclarationFault {
  const found = valueAt(entry, issue.path);
  const keys = [path, ...issue.path.map(String)].join('.');
  // A text in the entry of a team may be a key.
  const foundText =
    section === 'teams' ? describeKind(found) : describeValue(found);
  return createFault(file, keys, `${issue.message}; found ${foundText}`);
}

function describeValue(found: unknown): string {
  return found === undefined ? 'nothing' : (JSON.stringify(found) ?? 'a value');
}

function describeKind(found: unknown): string {
  if (typeof found === 'string') return `a text of ${found.length} characters`;
  if (Array.isArray(found)) return 'a list';
  return isTable(found) ? 'a table' : describeValue(found);
}

function valueAt(value: unknown, path: readonly PropertyKey[]): unknown {
  let current = value;
  for (const key of path) {
    if (!isTable(current) && !Array.isArray(current)) return undefined;
    current = (current as Record<PropertyKey, unknown>)[key];
  }
  return current;
}

function createFault(
  file: DeclarationFile,
  path: string,
  problem: string,
): DeclarationFault {
  return {
    file: file.name,
    line: lineOf(file.text, path),
    path,
    problem,
  };
}

/** Finds the line of a key, or else of its table's header, for the error message. */
function lineOf(text: string, path: string): number | undefined {
  const keys = path.split('.');
  const lines = text.split('\n');
  const header = lines.findIndex(line =>
    line.trim().startsWith(`[${keys.slice(0, 2).join('.')}`),
  );
  if (header < 0) return undefined;
  // An element of a list has no line of its own that could be found.
  const lastKey = keys.filter(key => !/^\d+$/.test(key)).at(-1);
  for (let index = header + 1; index < lines.length; index += 1) {
    const line = lines[index]?.trim() ?? '';
    if (line.startsWith('[') && !line.includes(keys[1] ?? '')) break;
    if (keys.length > 2 && line.startsWith(`${lastKey} `)) return index + 1;
  }
  return header + 1;
}

function unknownSection(
  file: DeclarationFile,
  section: string,
): DeclarationFault {
  return {
    file: file.name,
    line: undefined,
    path: section,
    problem: `found the table "${section}", expected one of ${SECTIONS.join(', ')}`,
  };
}

function isSection(section: string): section is Section {
  return (SECTIONS as readonly string[]).includes(section);
}

function isTable(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
