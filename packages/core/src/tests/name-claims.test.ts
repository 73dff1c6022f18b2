import {test} from 'tap';
import {
	defaultMembershipTimes, GossipType, isReachableTime, Liveness, maximumClockLeadMilliseconds, Membership, MembershipEffectType, type Member, type MembershipEffect,
} from '../index.js';
import {createMember} from './fixtures.js';

const wallClock = 1_800_000_000_000;
const own = createMember('a', {incarnation: wallClock, host: '10.0.0.1'});
const other = createMember('b', {incarnation: wallClock, host: '10.0.0.2'});

function start(): Membership {
	const membership = new Membership({
		own, random: () => 0.5, times: defaultMembershipTimes, wallClock: () => wallClock,
	});
	membership.mergeMembers([other], 0);
	return membership;
}

const isSuperseded = (effects: readonly MembershipEffect[]): boolean => effects.some(effect => effect.type === MembershipEffectType.Superseded);
const destinations = (effects: readonly MembershipEffect[]): string[] => effects
	.flatMap(effect => effect.type === MembershipEffectType.Send && effect.message.type === GossipType.Ping ? [effect.to.host] : []);

const message = (sender: Member) => ({
	type: GossipType.Acknowledgement, sequence: 0, sender, target: '', members: [], rumors: [],
});

test('a member whose incarnation no clock can have reached is ignored, and the living member stays in the view', async t => {
	const membership = start();
	const forged = {...other, host: '10.9.9.9', version: 4_000_000_000};
	for (const incarnation of [wallClock + maximumClockLeadMilliseconds + 1, 8.64e15, 1.7e308]) {
		t.same(membership.mergeView([{...forged, incarnation}], 1), []);
		t.notOk(isReachableTime(incarnation, wallClock));
	}

	t.same(membership.others.map(({host}) => host), ['10.0.0.2']);
});

test('a member that was started while the clock of its VM was minutes ahead is accepted', async t => {
	const membership = start();
	const ahead = {...other, incarnation: wallClock + 600_000, host: '10.0.0.3'};
	membership.mergeMembers([ahead], 1);
	t.equal(membership.get('b')?.host, '10.0.0.3');
});

test('an entry of the own name at another address is verified, and refuted when no node answers there', async t => {
	const membership = start();
	const claim = {...own, incarnation: wallClock + 1000, host: '10.9.9.9'};
	const effects = membership.mergeMembers([claim], 10);
	t.notOk(isSuperseded(effects), 'second-hand claims do not stop the node');
	t.same(destinations(effects), ['10.9.9.9']);
	t.same(destinations(membership.mergeMembers([claim], 20)), [], 'the same claim is verified once');
	membership.advance(1000);
	t.equal(membership.own.incarnation, wallClock);
	membership.advance(1600);
	t.match(membership.own, {incarnation: wallClock + 1001, host: '10.0.0.1', liveness: Liveness.Alive});
});

test('a node stops when another node with its name and a later start sends to it', async t => {
	const membership = start();
	const later = {...own, incarnation: wallClock + 1000, host: '10.0.0.9'};
	membership.mergeMembers([later], 10);
	t.ok(isSuperseded(membership.receive(message(later), 20)));
	t.notOk(isSuperseded(start().receive(message({...later, incarnation: wallClock - 1000}), 20)), 'not for an earlier start');
});

test('an entry of another name with the own address is refuted and marked as dead', async t => {
	const membership = start();
	const forged = createMember('x', {incarnation: wallClock + 5, host: own.host, controlPort: own.controlPort});
	t.notOk(isSuperseded(membership.mergeMembers([forged], 10)));
	t.equal(membership.get('x')?.liveness, Liveness.Dead);
	t.ok(membership.own.incarnation > forged.incarnation, 'other nodes prefer the own entry');
});

test('a suspicion with the highest version is refuted by a new incarnation', async t => {
	const membership = start();
	membership.mergeMembers([{...own, version: 4_294_967_295, liveness: Liveness.Suspect}], 10);
	t.match(membership.own, {incarnation: wallClock + 1, version: 1, liveness: Liveness.Alive});
});

test('a probe is acknowledged by its target only, not by another node at the address of the entry', async t => {
	const membership = start();
	const pings = membership.advance(100).filter(effect => effect.type === MembershipEffectType.Send && effect.message.type === GossipType.Ping);
	const sequence = pings.flatMap(effect => effect.type === MembershipEffectType.Send ? [effect.message.sequence] : [])[0]!;
	membership.receive({...message(createMember('c', {incarnation: wallClock, host: other.host})), sequence}, 120);
	for (const now of [500, 1200, 1300]) {
		membership.advance(now);
	}

	t.equal(membership.get('b')?.liveness, Liveness.Suspect);
});

test('an entry of the own incarnation with a later version, or with other values, is refuted', async t => {
	const claims: ReadonlyArray<Partial<Member>> = [{version: 4, host: '10.9.9.9'}, {version: 4}, {host: '10.9.9.9'}, {service: 'other'}];
	claims.map(claim => {
		const membership = start();
		const member = {...own, ...claim};
		membership.mergeMembers([member], 10);
		t.match(membership.own, {
			incarnation: wallClock, version: member.version + 1, host: '10.0.0.1', service: 's',
		}, JSON.stringify(claim));
		return claim;
	});
	const membership = start();
	membership.mergeMembers([own], 10);
	t.equal(membership.own.version, own.version, 'the own entry itself is none');
});

test('a node that is known under a false entry learns of it from the answer to its ping', async t => {
	const membership = start();
	const falseEntry = {
		...other, incarnation: wallClock + 5, host: '10.9.9.9', liveness: Liveness.Dead,
	};
	membership.mergeMembers([falseEntry], 10);
	const replies = membership.receive({...message(other), type: GossipType.Ping, sequence: 3}, 20);
	const members = replies.flatMap(effect => effect.type === MembershipEffectType.Send && effect.to.host === other.host ? effect.message.members : []);
	t.ok(members.some(member => member.name === 'b' && member.host === '10.9.9.9'));
});

test('a node that is listed in a view, and known as dead under a false entry, is contacted with that entry', async t => {
	const membership = start();
	membership.mergeMembers([{
		...other, incarnation: wallClock + 5, host: own.host, liveness: Liveness.Dead,
	}], 10);
	const contacts = membership.mergeView([other], 20).flatMap(effect => effect.type === MembershipEffectType.Send ? [effect] : []);
	t.match(contacts, [{to: {host: other.host}, message: {type: GossipType.Ping, members: [{name: 'b', host: own.host}]}}]);
	t.same(start().mergeView([other], 20), [], 'not when the view and the table agree');
});
