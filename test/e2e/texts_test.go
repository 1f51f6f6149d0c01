package e2e

// serviceText is a configuration with a service, a batch that ends (letters), a batch that runs
// throughout a test (watch), and a batch that starts when it is submitted (extra).
const serviceText = `version: 1
teams:
  - name: wards
    quota: {cpu: 48, memory: 96GiB}
services:
  - name: casedesk
    team: wards
    replicas: 6
    resources: {cpu: 1, memory: 512MiB}
batches:
  - name: letters
    team: wards
    tasks: 60
    resources: {cpu: 2, memory: 256MiB}
    command: [sleep, 1500ms]
    retries: 3
  - name: watch
    team: wards
    tasks: 3
    resources: {cpu: 1, memory: 256MiB}
    command: [sleep, 1h]
  - name: extra
    team: wards
    tasks: 2
    resources: {cpu: 1, memory: 256MiB}
    command: [sleep, 10ms]
    start: on-submit
`
