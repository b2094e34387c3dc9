# A refund claim: the receipt is checked, a hold is set only if the amount exceeds the limit, and the
# payout, which must never happen twice, is the last step.
cwlVersion: v1.2
$namespaces: {gd: "https://grebedock.example/cwl#"}
$graph:
  - id: main
    class: Workflow
    inputs: {claim: string, amount: int, limit: {type: int, default: 500}}
    outputs:
      receipt: {type: File, outputSource: pay/receipt}
    requirements: {InlineJavascriptRequirement: {}, StepInputExpressionRequirement: {}}
    hints:
      gd:Job: {team: ops, jobClass: receipt-checks, priority: standard, estimate: 5}
    steps:
      look:
        in: {claim: claim, amount: amount}
        out: [note]
        run: "#look"
      hold:
        in: {amount: amount, limit: limit, note: look/note}
        when: $(inputs.amount > inputs.limit)
        out: [note]
        run: "#hold"
        hints:
          gd:Job: {jobClass: fraud-holds, priority: high, estimate: 2}
      pay:
        in:
          note: {source: [hold/note, look/note], pickValue: first_non_null}
          claim: {source: claim, valueFrom: $(self.toUpperCase())}
        out: [receipt]
        run: "#pay"
        hints:
          gd:Job: {once: true}
  - id: look
    class: CommandLineTool
    inputs:
      claim: {type: string, inputBinding: {position: 1}}
      amount: {type: int, inputBinding: {position: 2, prefix: "amount=", separate: false}}
    baseCommand: echo
    arguments: [looked, at]
    outputs: {note: stdout}
  - id: hold
    class: CommandLineTool
    inputs: {note: {type: File, inputBinding: {}}}
    baseCommand: [sed, "s/^/held: /"]
    outputs: {note: stdout}
  - id: pay
    class: CommandLineTool
    requirements:
      EnvVarRequirement: {envDef: {CLAIM: $(inputs.claim)}}
      InitialWorkDirRequirement:
        listing:
          - {entryname: note.txt, entry: $(inputs.note)}
    inputs: {note: File, claim: string}
    baseCommand: [sh, -c, 'echo "paid $CLAIM"; cat note.txt']
    stdout: receipt.txt
    outputs: {receipt: stdout}
