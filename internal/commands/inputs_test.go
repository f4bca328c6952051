package commands_test

// badInput is one edit of a good file, and the expected output of the check command.
type badInput struct {
	kind string
	old  string
	new  string
	want string
}

var badInputs = []badInput{
	{
		"settings", "name: entry-1\n", "",
		`file.yaml:1: name: is missing; add "name: entry-1"`,
	},
	{
		"settings", "name: entry-1", "name: Entry_1",
		`file.yaml:1: name: "Entry_1" is no name; use lower case letters, digits, dots and dashes, at most 63`,
	},
	{
		"settings", "name: entry-1", "name:",
		`file.yaml:1: name: has no value; give it one, or remove the line`,
	},
	{
		"settings", "name: entry-1", "name: \"\"",
		`file.yaml:1: name: is empty; give it a value, or remove the line`,
	},
	{
		"settings", "centre: athens", "center: athens",
		`file.yaml:1: centre: is missing; add "centre: centre-a"
file.yaml:2: center: is not a known field; did you mean "centre"?`,
	},
	{
		"settings", "region: attica", "region: [attica]",
		`file.yaml:3: region: is a list where text is expected; write a single value`,
	},
	{
		"settings", "caller: 127.0.0.1:9100", "caller: localhost:9100",
		`file.yaml:5: listeners.caller: "localhost:9100" is no address; write an IP number and a port, such as "127.0.0.1:9000"`,
	},
	{
		"settings", "peer: 127.0.0.1:9101", "peer: 127.0.0.1",
		`file.yaml:6: listeners.peer: "127.0.0.1" is no address; write an IP number and a port, such as "127.0.0.1:9000"`,
	},
	{
		"settings", "operator: 127.0.0.1:9102", "operator: 127.0.0.1:9101",
		`file.yaml:7: listeners.operator: 127.0.0.1:9101 is used by another listener; give each listener a port of its own`,
	},
	{
		"settings", "  operator: 127.0.0.1:9102\n", "",
		`file.yaml:5: listeners.operator: is missing; add "operator: 127.0.0.1:9102"`,
	},
	{
		"settings", "platform: 127.0.0.1:9000", "platform: 9000",
		`file.yaml:8: platform: "9000" is no address; write an IP number and a port, such as "127.0.0.1:9000"`,
	},
	{
		"settings", "platform: 127.0.0.1:9000", "platform: {address: 127.0.0.1:9000}",
		`file.yaml:8: platform: is a group of fields where an address is expected; write a single value`,
	},
	{
		"settings", "platform: 127.0.0.1:9000", "platform: 127.0.0.1:9000\nseeds: 127.0.0.1:9101",
		`file.yaml:9: seeds: is "127.0.0.1:9101" where a list is expected; write one "- item" for each line`,
	},
	{
		"settings", "platform: 127.0.0.1:9000", "platform: 127.0.0.1:9000\nseeds: [127.0.0.1:9101, nowhere]",
		`file.yaml:9: seeds: item 1, "nowhere", is no address; write an IP number and a port, such as "127.0.0.1:9000"`,
	},
	{
		"settings", "platform: 127.0.0.1:9000", "platform: 127.0.0.1:9000\ntls: {certificate: a.crt, key: a.key}",
		`file.yaml:9: tls.authority: is missing; add "authority: peers.crt"`,
	},
	{
		"settings", "team: koinonia\n", "team: koinonia\n    role: boss\n",
		`file.yaml:12: tokens[0].role: is not a known field; remove it; known here: hash, name, team`,
	},
	{
		"settings", "hash: 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b", "hash: secret",
		`file.yaml:12: tokens[0].hash: is no SHA-256 in hexadecimal; write the hash that "azurepond token" prints, never the token`,
	},
	{
		"settings", "probe: 500ms", "probe: 500",
		`file.yaml:14: timings.probe: "500" is no duration; write a number with a unit, such as "500ms" or "2s"`,
	},
	{
		"settings", "probe: 500ms", "probe: 1ms",
		`file.yaml:14: timings.probe: 1ms is out of range; write one from 10ms to 1h0m0s`,
	},
	{
		"settings", "verbosity: 1", "verbosity: high",
		`file.yaml:15: verbosity: "high" is no whole number; write a number from 0 to 9`,
	},
	{
		"settings", "verbosity: 1", "verbosity: 12",
		`file.yaml:15: verbosity: 12 is out of range; write a number from 0 to 9`,
	},
	{
		"settings", "verbosity: 1", "verbosity: 1\nverbosity: 2",
		`file.yaml:16: verbosity: is given twice; remove one of the two`,
	},
	{
		"settings", "verbosity: 1", "verbosity: *name",
		`file.yaml: is not YAML: unknown anchor 'name' referenced; check indentation, quotes and brackets near this line`,
	},
	{
		"settings", "name: entry-1", "name: &name entry-1",
		`file.yaml:1: name: uses an anchor; write the value out`,
	},
	{
		"settings", "verbosity: 1", "verbosity: 1\n---\nname: entry-2",
		`file.yaml:16: holds more than one document; keep the part before "---" only`,
	},
	{
		"settings", "verbosity: 1", "verbosity: [1",
		`file.yaml:14: is not YAML: did not find expected ',' or ']'; check indentation, quotes and brackets near this line`,
	},
	{
		"stand", "address: 127.0.0.1:9201\n", "address: worker:9201\n",
		`file.yaml:4: engines[0].address: "worker:9201" is no address; write an IP number and a port, such as "127.0.0.1:9000"`,
	},
	{
		"stand", "    domain: rack-1\n", "",
		`file.yaml:3: engines[0].domain: is missing; add "domain: rack-1"`,
	},
	{
		"stand", "accelerators: 8", "accelerators: 8.5",
		`file.yaml:8: engines[0].accelerators: "8.5" is no whole number; write a number from 1 to 64`,
	},
	{
		"stand", "fencing: true", "fencing: \"true\"",
		`file.yaml:9: engines[0].fencing: "true" is neither true nor false; write true or false without quotes`,
	},
	{
		"questionnaire", "team: koinonia", "team: fleet",
		`file.yaml:1: team: "fleet" is reserved; choose another name`,
	},
	{
		"questionnaire", "span: 4", "span: 400",
		`file.yaml:6: models[0].span: 400 is out of range; write a number from 1 to 64`,
	},
	{
		"questionnaire", "span: 4", "spam: 4",
		`file.yaml:3: models[0].span: is missing; add "span: 8"
file.yaml:6: models[0].spam: is not a known field; did you mean "span"?`,
	},
	{
		"questionnaire", "each: 5", "each: 0",
		`file.yaml:9: models[0].each: 0 is out of range; write a number from 1 to 100000`,
	},
	{
		"questionnaire", "fencing: true", "fencing: perhaps",
		`file.yaml:11: models[0].fencing: "perhaps" is neither true nor false; write true or false without quotes`,
	},
	{
		"questionnaire", "outage: refuse", "outage: run",
		`file.yaml:17: services[0].outage: "run" is not a choice; write one of refuse, wait`,
	},
	{
		"questionnaire", "    outage: refuse\n", "",
		`file.yaml:13: services[0].outage: is missing; add "outage: refuse"`,
	},
	{
		"questionnaire", "once: [POST /tickets]", "once: [tickets]",
		`file.yaml:16: services[0].once: "tickets" is no method with a path; write one such as "POST /tickets"`,
	},
	{
		"questionnaire", "once: [POST /tickets]", "once: [POST /tickets, \"\"]",
		`file.yaml:16: services[0].once[1]: is empty where text is expected; write one text for each item`,
	},
	{
		"questionnaire", "size: large", "size: huge",
		`file.yaml:20: callers[0].size: "huge" is not a choice; write one of small, medium, large`,
	},
	{
		"questionnaire", "targets: [notices, tickets]", "targets: [notice]",
		`file.yaml:22: callers[0].targets: "notice" is neither a model nor a service; name one of this file`,
	},
	{
		"questionnaire", "- name: tickets", "- name: notices",
		`file.yaml:13: services[0].name: "notices" is taken; give each model, service and organisation a name of its own
file.yaml:22: callers[0].targets: "tickets" is neither a model nor a service; name one of this file`,
	},
	{
		"questionnaire", "- name: odeon", "- name: tickets",
		`file.yaml:19: callers[0].name: "tickets" is taken; give each model, service and organisation a name of its own`,
	},
	{
		"questionnaire", "first: 2s", "first: 2m",
		`file.yaml:25: delay.first: 2m0s is later than whole, 30s; make whole at least as long as first`,
	},
	{
		"questionnaire", "first: 2s", "first: soon",
		`file.yaml:25: delay.first: "soon" is no duration; write a number with a unit, such as "500ms" or "2s"`,
	},
	{
		"questionnaire", "loss: downtime", "loss: both",
		`file.yaml:28: worse.loss: "both" is not a choice; write one of equal, downtime, stranding`,
	},
	{
		"questionnaire", "  times: 10", "  times: -1",
		`file.yaml:29: worse.times: -1 is out of range; write a number from 1 to 1000`,
	},
	{
		"configuration", "team: koinonia", "team: koinonia\nrevision: last",
		`file.yaml:2: revision: "last" is no whole number; write a number from 0 to 4611686018427387904`,
	},
	{
		"configuration", "bytes: 40000000000", "bytes: 40GB",
		`file.yaml:3: models[0].bytes: "40GB" is no whole number; write a number from 1 to 17592186044416`,
	},
	{
		"configuration", "span: 4", "span: 04x",
		`file.yaml:3: models[0].span: "04x" is no whole number; write a number from 1 to 64`,
	},
	{
		"configuration", "pool: attica, ", "",
		`file.yaml:3: models[0].pool: is missing; add "pool: main"`,
	},
	{
		"configuration", "share: 100", "share: 0",
		`file.yaml:9: organisations[0].share: 0 is out of range; write a number from 1 to 1000`,
	},
	{
		"configuration", "address: 127.0.0.1:9301", "address: tickets",
		`file.yaml:6: services[0].upstreams[0].address: "tickets" is no address; write an IP number and a port, such as "127.0.0.1:9000"`,
	},
	{
		"configuration", "organisations:", "weights: {downtime: 0, stranding: 0}\norganisations:",
		`file.yaml:8: weights.downtime: and stranding are both 0; give at least one of them a cost`,
	},
	{
		"configuration", "organisations:", "models: none\norganisations:",
		`file.yaml:8: models: is given twice; remove one of the two`,
	},
	{
		"configuration", "organisations:", "limits: 5\norganisations:",
		`file.yaml:8: limits: is "5" where fields are expected; write lines of "name: value"`,
	},
	{
		"configuration", "organisations:", "limits: {body: 99999999}\norganisations:",
		`file.yaml:8: limits.body: 99999999 is out of range; write a number from 1 to 16777216`,
	},
	{
		"configuration", "organisations:", "colour: red\norganisations:",
		`file.yaml:8: colour: is not a known field; remove it; known here: deadlines, limits, models, organisations, revision, services, team, weights`,
	},
	{
		"questionnaire", "delay:", "  - {name: rex, size: small, targets: [tickets], key: 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b}\ndelay:",
		`file.yaml:24: callers[1].key: is the key of another organisation as well; make one with "azurepond token"`,
	},
	{
		"settings", "  key: operators.key\n", "",
		`file.yaml:17: https.key: is missing; add "key: operators.key"`,
	},
}
