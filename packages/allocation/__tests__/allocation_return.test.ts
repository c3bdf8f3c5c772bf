import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {
  EndpointId,
  FailureDomain,
  FencingNumber,
  Instant,
  ModelName,
  NodeId,
} from '@siskinmux/kernel';
import {as} from '@siskinmux/kernel';
import {ObjectServiceStandIn} from '@siskinmux/standins';
import {VirtualClock, createSeededRandom} from '@siskinmux/testkit';
import type {Allocation, Reservation} from '../src/index.js';
import {
  AllocationLostError,
  AllocationStore,
  AllocationWentBackError,
} from '../src/index.js';

const ENGINE = as<EndpointId>('engine');

function reservation(number: number, model: string): Reservation {
  return {
    id: `r${number}`,
    subject: {kind: 'model', model: as<ModelName>(model), version: 'v1'},
    engine: ENGINE,
    memoryBytes: 8,
    state: 'ready',
    fencingNumber: as<FencingNumber>(number),
    orderedBy: as<NodeId>('one'),
    orderDeadline: as<Instant>(0),
    changedAt: as<Instant>(0),
    openOrders: [],
    reason: 'test',
  };
}

function allocationOf(
  holder: string,
  ...reservations: readonly Reservation[]
): Allocation {
  return {
    holder: as<NodeId>(holder),
    nextFencingNumber:
      1 + Math.max(0, ...reservations.map(({fencingNumber}) => fencingNumber)),
    reservations,
  };
}

function setUp() {
  const clock = VirtualClock.create();
  const random = createSeededRandom(1);
  const objects = ObjectServiceStandIn.create({clock, random});
  const open = async (node: string): Promise<AllocationStore> => {
    const store = AllocationStore.create({
      objects,
      failureDomain: as<FailureDomain>('a'),
      node: as<NodeId>(node),
    });
    await store.read();
    return store;
  };
  return {objects, open};
}

function modelsOf({reservations}: Allocation): string[] {
  return reservations.map(({subject}) => subject.model).sort();
}

/** What the stored allocation would be if the store's holder planned nothing new. */
async function storedAfterRestore(
  store: AllocationStore,
  open: (node: string) => Promise<AllocationStore>,
): Promise<Allocation> {
  await store.write({...store.current, holder: as<NodeId>('one')});
  return (await open('reader')).current;
}

describe('allocation whose object service returns from an older copy', () => {
  for (const keepsCounting of [false, true]) {
    const versions = keepsCounting ? 'rising' : 'given out again';

    it(`keeps the reservations and the fencing number of its holder, versions ${versions}`, async () => {
      const {objects, open} = setUp();
      const copy = objects.copy();
      const store = await open('one');
      await store.write(allocationOf('one', reservation(1, 'offers')));
      await store.write(
        allocationOf('one', reservation(1, 'offers'), reservation(2, 'tags')),
      );
      objects.comeBack(copy, keepsCounting);
      await expect(store.verifyUnchanged()).toBeRejectedWith(
        AllocationWentBackError,
      );
      const {holder, nextFencingNumber} = store.current;
      // No holder: the next plan writes it before it sends an order.
      expect(holder).toEqual(undefined);
      expect(nextFencingNumber).toEqual(3);
      const stored = await storedAfterRestore(store, open);
      expect(modelsOf(stored)).toEqual(['offers', 'tags']);
    });

    it(`notices the return by a failed write, versions ${versions}`, async () => {
      const {objects, open} = setUp();
      const store = await open('one');
      await store.write(allocationOf('one', reservation(1, 'offers')));
      const copy = objects.copy();
      const both = [reservation(1, 'offers'), reservation(2, 'tags')];
      await store.write(allocationOf('one', ...both));
      objects.comeBack(copy, keepsCounting);
      await expect(
        store.write(allocationOf('one', ...both, reservation(3, 'rare'))),
      ).toBeRejectedWith(AllocationWentBackError);
      const stored = await storedAfterRestore(store, open);
      expect(modelsOf(stored)).toEqual(['offers', 'tags']);
      expect(stored.nextFencingNumber).toEqual(3);
    });

    it(`keeps what another node reserved in the older copy, versions ${versions}`, async () => {
      const {objects, open} = setUp();
      const copy = objects.copy();
      const store = await open('one');
      await store.write(allocationOf('one', reservation(1, 'offers')));
      await store.write(
        allocationOf('one', reservation(1, 'offers'), reservation(5, 'tags')),
      );
      objects.comeBack(copy, keepsCounting);
      const second = await open('two');
      await second.write(allocationOf('two', reservation(1, 'rare')));
      await expect(store.verifyUnchanged()).toBeRejectedWith(
        AllocationWentBackError,
      );
      const stored = await storedAfterRestore(store, open);
      expect(modelsOf(stored)).toEqual(['offers', 'rare', 'tags']);
      expect(new Set(stored.reservations.map(({id}) => id)).size).toEqual(3);
      expect(stored.nextFencingNumber).toEqual(7);
      await expect(second.verifyUnchanged()).toBeRejectedWith(
        AllocationLostError,
      );
    });

    for (const hasObject of [false, true])
      it(`forgets nothing while others write, or the service returns again, before it is restored, versions ${versions}, ${hasObject ? 'in the copy' : 'not in the copy'}`, async () => {
        const {objects, open} = setUp();
        const store = await open('one');
        if (hasObject) await store.write(allocationOf('one'));
        const copy = objects.copy();
        await store.write(allocationOf('one', reservation(4, 'offers')));
        objects.comeBack(copy, keepsCounting);
        await expect(store.verifyUnchanged()).toBeRejected();
        const second = await open('two');
        await second.write(allocationOf('two', reservation(9, 'rare')));
        await expect(
          store.write({...store.current, holder: as<NodeId>('one')}),
        ).toBeRejectedWith(AllocationWentBackError);
        objects.comeBack(copy, keepsCounting);
        await expect(store.read()).toBeRejectedWith(AllocationWentBackError);
        await store.read();
        const stored = await storedAfterRestore(store, open);
        expect(modelsOf(stored)).toEqual(['offers', 'rare']);
      });
  }

  it('is given up to a node that continues it', async () => {
    const {open} = setUp();
    const store = await open('one');
    await store.write(allocationOf('one', reservation(1, 'offers')));
    const second = await open('two');
    await second.write({...second.current, holder: as<NodeId>('two')});
    await expect(store.verifyUnchanged()).toBeRejectedWith(AllocationLostError);
  });
});
