import {readFileSync, readdirSync} from 'node:fs';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {
  DeclarationError,
  applyChanges,
  diffDeclarations,
  emptyDeclarations,
  parseDeclarations,
  resolveModelTarget,
} from '../src/index.js';

const RUNS = 300;

const ENGINE = `
[endpoints.engine]
kind = "engine"
url = "http://127.0.0.1:1"
host = "h"
failure_domain = "a"
memory_gib = 16
checks_fencing = true
`;

const MODEL = `
[models.offers]
versions = ["v1", "v2"]
current_version = "v1"
memory_gib = 8
replicas = {a = 1}
`;

function parse(text: string) {
  return parseDeclarations([{name: 'test.toml', text}]);
}

function faultsOf(text: string): string {
  try {
    parse(text);
  } catch (failure) {
    if (failure instanceof DeclarationError) return failure.message;
    throw failure;
  }
  return '';
}

function readExample(name: string) {
  const folder = `examples/${name}`;
  return parseDeclarations(
    readdirSync(folder).map(file => ({
      name: file,
      text: readFileSync(`${folder}/${file}`, 'utf8'),
    })),
  );
}

describe(parseDeclarations.name, () => {
  it('reads both examples, at the sizes of the users', () => {
    const brindlecote = readExample('brindlecote');
    expect(Object.keys(brindlecote.models).length).toEqual(30);
    expect(Object.keys(brindlecote.adapters).length).toEqual(60);
    expect(Object.keys(brindlecote.endpoints).length).toEqual(9);
    const petir = readExample('petir_waspada');
    expect(Object.keys(petir.models).length).toEqual(40);
    expect(Object.keys(petir.adapters).length).toEqual(95);
    expect(Object.keys(petir.endpoints).length).toEqual(17);
  });

  it('names file, line, key path, what was found and what is expected', () => {
    const faults = faultsOf(ENGINE + MODEL.replace('= 8', '= "eight"'));
    expect(faults).toInclude('test.toml:13: models.offers.memory_gib');
    expect(faults).toInclude('expected number');
    expect(faults).toInclude('"eight"');
  });

  it('refuses unknown keys and tables', () => {
    expect(faultsOf(`${ENGINE}colour = "red"`)).toInclude('colour');
    expect(faultsOf('[engines.x]')).toInclude('expected one of models');
  });

  it('gives the line of a syntax error', () => {
    expect(faultsOf('[models\n')).toInclude('test.toml:1');
  });

  it('refuses what does not fit together', () => {
    expect(faultsOf(MODEL)).toInclude('no engine is declared');
    expect(faultsOf(ENGINE + MODEL.replace('= 8', '= 80'))).toInclude(
      'the largest engine in "a" has 16 GiB',
    );
    expect(
      faultsOf(`${ENGINE}[adapters.x]\nmodel = "none"\nmemory_mib = 1`),
    ).toInclude('expected the name of a declared model');
  });

  it('refuses the same entry in two files', () => {
    expect(() =>
      parseDeclarations([
        {name: 'one.toml', text: ENGINE + MODEL},
        {name: 'two.toml', text: MODEL},
      ]),
    ).toThrow(DeclarationError, 'declared before in one.toml');
  });

  it('answers any text with declarations or a typed error', () => {
    fc.assert(
      fc.property(fc.string({unit: 'binary'}), text => {
        faultsOf(text);
      }),
      {seed: 1, numRuns: RUNS},
    );
  });

  it('answers any keys and values with declarations or a typed error', () => {
    const line = fc
      .tuple(
        fc.constantFrom('models', 'policy', 'x', '__proto__'),
        fc.constantFrom('a', '__proto__', 'constructor'),
        fc.jsonValue(),
      )
      .map(
        ([table, key, value]) =>
          `["${table}"."${key}"]\nvalue = ${JSON.stringify(value)}`,
      );
    fc.assert(
      fc.property(line, text => {
        faultsOf(text);
      }),
      {seed: 1, numRuns: RUNS},
    );
  });
});

describe(diffDeclarations.name, () => {
  it('is undone by applying it, whatever is removed, added or changed', () => {
    const whole = readExample('brindlecote');
    const names = Object.keys(whole.adapters);
    fc.assert(
      fc.property(fc.subarray(names), kept => {
        const part = {
          ...whole,
          adapters: Object.fromEntries(
            kept.map(name => [name, whole.adapters[name] as never]),
          ),
        };
        const changes = diffDeclarations(whole, part);
        expect(applyChanges(whole, changes)).toEqual(part);
        const back = diffDeclarations(part, whole);
        expect(applyChanges(part, back)).toEqual(whole);
      }),
      {seed: 1, numRuns: 30},
    );
  });

  it('refuses changes that leave something dangling', () => {
    const whole = readExample('brindlecote');
    expect(() =>
      applyChanges(whole, [{section: 'models', name: 'offers-01'}]),
    ).toThrow(DeclarationError, 'expected the name of a declared model');
  });
});

describe(resolveModelTarget.name, () => {
  const whole = parse(
    `${ENGINE}${MODEL}[adapters.brand]\nmodel = "offers"\nmemory_mib = 1`,
  );

  it('finds models, versions and adapters', () => {
    expect(resolveModelTarget(whole, 'offers')?.version).toEqual('v1');
    expect(resolveModelTarget(whole, 'offers@v2')?.version).toEqual('v2');
    expect(String(resolveModelTarget(whole, 'brand')?.adapter)).toEqual(
      'brand',
    );
  });

  it('finds nothing behind other names', () => {
    for (const name of ['offers@v3', 'none', '__proto__', 'constructor', '']) {
      expect(resolveModelTarget(whole, name)).toEqual(undefined);
    }
    expect(resolveModelTarget(emptyDeclarations(), 'x')).toEqual(undefined);
  });
});
