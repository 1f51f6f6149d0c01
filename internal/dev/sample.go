package dev

// Sample is a configuration text with one service, one batch run and one job.
const Sample = `version: 1
teams:
  - name: demo
    quota: {cpu: 32, memory: 64GiB}
services:
  - name: casedesk
    team: demo
    replicas: 3
    resources: {cpu: 1, memory: 512MiB}
    deadline: 5s
    spread: rack
batches:
  - name: letters
    team: demo
    tasks: 20
    resources: {cpu: 1, memory: 256MiB}
    command: [sleep, 100ms]
    run_time: 1s
jobs:
  - name: routes
    team: demo
    tasks: 4
    resources: {cpu: 2, memory: 1GiB}
    command: [sleep, 200ms]
    depends_on: [letters]
`
