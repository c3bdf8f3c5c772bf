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

const PROPERTY_RUNS = 300;

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

function faultMessage(text: string): string {
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
  it('parses both example configurations with all models, adapters and endpoints', () => {
    const brindlecote = readExample('brindlecote');
    expect(Object.keys(brindlecote.models).length).toEqual(30);
    expect(Object.keys(brindlecote.adapters).length).toEqual(60);
    expect(Object.keys(brindlecote.endpoints).length).toEqual(9);
    const petir = readExample('petir_waspada');
    expect(Object.keys(petir.models).length).toEqual(40);
    expect(Object.keys(petir.adapters).length).toEqual(95);
    expect(Object.keys(petir.endpoints).length).toEqual(17);
  });

  it('reports file, line, key path, the value found and the expected type of a fault', () => {
    const message = faultMessage(ENGINE + MODEL.replace('= 8', '= "eight"'));
    expect(message).toInclude('test.toml:13: models.offers.memory_gib');
    expect(message).toInclude('expected number');
    expect(message).toInclude('"eight"');
  });

  it('rejects unknown keys and unknown tables', () => {
    expect(faultMessage(`${ENGINE}colour = "red"`)).toInclude('colour');
    expect(faultMessage('[engines.x]')).toInclude('expected one of models');
  });

  it('reports the line of a TOML syntax error', () => {
    expect(faultMessage('[models\n')).toInclude('test.toml:1');
  });

  it('rejects models that fit no engine, and adapters of undeclared models', () => {
    expect(faultMessage(MODEL)).toInclude('no engine is declared');
    expect(faultMessage(ENGINE + MODEL.replace('= 8', '= 80'))).toInclude(
      'the largest engine in "a" has 16 GiB',
    );
    expect(
      faultMessage(`${ENGINE}[adapters.x]\nmodel = "none"\nmemory_mib = 1`),
    ).toInclude('expected the name of a declared model');
  });

  it('rejects an entry that is declared in two files', () => {
    expect(() =>
      parseDeclarations([
        {name: 'one.toml', text: ENGINE + MODEL},
        {name: 'two.toml', text: MODEL},
      ]),
    ).toThrow(DeclarationError, 'declared before in one.toml');
  });

  it('returns declarations or throws a DeclarationError for any text', () => {
    fc.assert(
      fc.property(fc.string({unit: 'binary'}), text => {
        faultMessage(text);
      }),
      {seed: 1, numRuns: PROPERTY_RUNS},
    );
  });

  it('returns declarations or throws a DeclarationError for any keys and values', () => {
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
        faultMessage(text);
      }),
      {seed: 1, numRuns: PROPERTY_RUNS},
    );
  });
});

describe(diffDeclarations.name, () => {
  it('yields changes that applyChanges applies in both directions, for any set of adapters', () => {
    const full = readExample('brindlecote');
    const names = Object.keys(full.adapters);
    fc.assert(
      fc.property(fc.subarray(names), kept => {
        const subset = {
          ...full,
          adapters: Object.fromEntries(
            kept.map(name => [name, full.adapters[name] as never]),
          ),
        };
        const changes = diffDeclarations(full, subset);
        expect(applyChanges(full, changes)).toEqual(subset);
        const reverseChanges = diffDeclarations(subset, full);
        expect(applyChanges(subset, reverseChanges)).toEqual(full);
      }),
      {seed: 1, numRuns: 30},
    );
  });

  it('has its changes rejected by applyChanges if an adapter still refers to a removed model', () => {
    const full = readExample('brindlecote');
    expect(() =>
      applyChanges(full, [{section: 'models', name: 'offers-01'}]),
    ).toThrow(DeclarationError, 'expected the name of a declared model');
  });
});

describe(resolveModelTarget.name, () => {
  const declarations = parse(
    `${ENGINE}${MODEL}[adapters.brand]\nmodel = "offers"\nmemory_mib = 1`,
  );

  it('resolves model names, model versions and adapter names', () => {
    expect(resolveModelTarget(declarations, 'offers')?.version).toEqual('v1');
    expect(resolveModelTarget(declarations, 'offers@v2')?.version).toEqual(
      'v2',
    );
    expect(String(resolveModelTarget(declarations, 'brand')?.adapter)).toEqual(
      'brand',
    );
  });

  it('resolves undeclared names, __proto__ included, to undefined', () => {
    for (const name of ['offers@v3', 'none', '__proto__', 'constructor', '']) {
      expect(resolveModelTarget(declarations, name)).toEqual(undefined);
    }
    expect(resolveModelTarget(emptyDeclarations(), 'x')).toEqual(undefined);
  });
});
